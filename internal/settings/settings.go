// Package settings decodes the settings object of a deployment, which the
// simulator sends in its first message and a gateway finds in its
// configuration. It is the only decoder: both programs use it.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"time"

	"asterwell/choice"
)

// Settings are those of the module and what only a host of it needs.
type Settings struct {
	choice.Settings
	IdleClose time.Duration // servers close a connection idle for so long, or sooner
	Reports   bool          // probes bring load reports
}

// wire is the settings object as it is written. Keys not named here are ignored.
type wire struct {
	rules
	Balancers int `json:"balancers"`
	SelfIndex int `json:"selfIndex"`
	Caps      struct {
		Cancel           bool    `json:"cancel"`
		ConnectTimeoutMs float64 `json:"connectTimeoutMs"`
		IdleCloseMs      float64 `json:"idleCloseMs"`
		TryLimit         int     `json:"tryLimit"`
		MaxRetryAfterMs  float64 `json:"maxRetryAfterMs"`
		Probes           bool    `json:"probes"`
		RetryAfter       bool    `json:"retryAfter"`
		SecondCopies     bool    `json:"secondCopies"`
	} `json:"caps"`
	Discovery  string `json:"discovery"`
	FamilyInfo struct {
		SharedCounter    bool    `json:"sharedCounter"`
		CountFee         float64 `json:"countFee"`
		CounterTimeoutMs float64 `json:"counterTimeoutMs"`
		MaxUnits         float64 `json:"maxUnits"`
		PostPaid         bool    `json:"postPaid"`
	} `json:"familyInfo"`
	LoadInfo struct {
		Source string `json:"source"`
	} `json:"loadInfo"`
	Safety struct {
		AnswerSlackMs float64 `json:"answerSlackMs"`
		AskWithinMs   float64 `json:"askWithinMs"`
		ColdFrom      float64 `json:"coldFrom"`
		ColdMs        float64 `json:"coldMs"`
		DrainGraceMs  float64 `json:"drainGraceMs"`
		FallMultiple  float64 `json:"fallMultiple"`
		TipAfterMs    float64 `json:"tipAfterMs"`
	} `json:"safety"`
	TickMs       float64 `json:"tickMs"`
	WeightSource string  `json:"weightSource"`
	Locality     string  `json:"locality"`
}

// rules are what a policy holds: classes, plans and prices.
type rules struct {
	Services []struct {
		AimMs      float64 `json:"aimMs"`
		DeadlineMs float64 `json:"deadlineMs"`
		Effect     string  `json:"effect"`
		Group      string  `json:"group"`
		LateWorth  float64 `json:"lateWorth"`
		Name       string  `json:"name"`
		Stream     bool    `json:"stream"`
		KeyTTLMs   float64 `json:"keyTtlMs"`
		Value      float64 `json:"value"`
	} `json:"services"`
	Contracts []struct {
		PeakUnits     float64 `json:"peakUnits"`
		CeilingBurst  float64 `json:"ceilingBurst"`
		NeverOverRate float64 `json:"neverOverRate"`
		HardSlack     float64 `json:"hardSlack"`
		Name          string  `json:"name"`
		MaxOut        int     `json:"maxOut"`
		OverrunCost   float64 `json:"overrunCost"`
		ExcessWorth   float64 `json:"excessWorth"`
		ValueFactor   float64 `json:"valueFactor"`
		QuotaRate     float64 `json:"quotaRate"`
	} `json:"contracts"`
	Prices struct {
		CrossZone float64 `json:"crossZone"`
		Probe     float64 `json:"probe"`
		Waste     float64 `json:"waste"`
		LateFail  float64 `json:"lateFail"`
	} `json:"prices"`
}

// Decode reads the settings object.
func Decode(data []byte) (Settings, error) {
	var e wire
	if err := json.Unmarshal(data, &e); err != nil {
		return Settings{}, err
	}
	s := Settings{IdleClose: FromMillis(e.Caps.IdleCloseMs), Reports: e.LoadInfo.Source != "" && e.LoadInfo.Source != "off"}
	s.Settings = choice.Settings{
		Gateways: e.Balancers, Index: e.SelfIndex, Zone: e.Locality, Tick: FromMillis(e.TickMs),
		MaxAttempts: e.Caps.TryLimit, Hedging: e.Caps.SecondCopies, Cancels: e.Caps.Cancel, Probes: e.Caps.Probes,
		RetryAfter: e.Caps.RetryAfter, MaxRetryAfter: FromMillis(e.Caps.MaxRetryAfterMs),
		ConnectTimeout: FromMillis(e.Caps.ConnectTimeoutMs),
		Subscribe:      e.Discovery == "subscribe", MaxNewsAge: FromMillis(e.Safety.AskWithinMs),
		Weighted: e.WeightSource != "off" && e.WeightSource != "",
		Counter:  e.FamilyInfo.SharedCounter, CounterTimeout: FromMillis(e.FamilyInfo.CounterTimeoutMs),
		MaxUnits: e.FamilyInfo.MaxUnits, PostPaid: e.FamilyInfo.PostPaid,
		AnswerSlack: FromMillis(e.Safety.AnswerSlackMs), DrainGrace: FromMillis(e.Safety.DrainGraceMs),
		ColdCapacity: e.Safety.ColdFrom, WarmupTime: FromMillis(e.Safety.ColdMs),
		OverloadRatio: e.Safety.FallMultiple, OverloadTime: FromMillis(e.Safety.TipAfterMs),
		CounterPrice: e.FamilyInfo.CountFee,
	}
	return s, e.into(&s)
}

// into puts the rules into settings, in the place of any there.
func (r *rules) into(s *Settings) error {
	s.Classes, s.Plans = nil, nil
	s.CrossZone, s.ProbePrice, s.WastePrice, s.LateFailPrice = r.Prices.CrossZone, r.Prices.Probe, r.Prices.Waste, r.Prices.LateFail
	for _, c := range r.Services {
		effect, ok := map[string]choice.Effect{
			"retryable": choice.Retryable, "dedup": choice.Keyed, "fragile": choice.NonRetryable}[c.Effect]
		if !ok {
			return fmt.Errorf("services: %s: unknown effect %q", c.Name, c.Effect)
		}
		group, ok := map[string]choice.Group{
			"": choice.AllBackends, "all": choice.AllBackends, "zone": choice.SameZone, "cell": choice.SameCell}[c.Group]
		if !ok {
			return fmt.Errorf("services: %s: unknown group %q", c.Name, c.Group)
		}
		s.Classes = append(s.Classes, choice.Class{Name: c.Name, Target: FromMillis(c.AimMs), Deadline: FromMillis(c.DeadlineMs),
			LateValue: c.LateWorth, Value: c.Value, Effect: effect, Group: group, KeyTTL: FromMillis(c.KeyTTLMs),
			Stream: c.Stream})
	}
	for _, p := range r.Contracts {
		s.Plans = append(s.Plans, choice.Plan{Name: p.Name, Rate: p.QuotaRate, Burst: p.PeakUnits, MaxOut: p.MaxOut,
			CeilingRate: p.NeverOverRate, CeilingBurst: p.CeilingBurst, CeilingSlack: p.HardSlack,
			ValueFactor: p.ValueFactor, ExcessWorth: p.ExcessWorth, OverrunCost: p.OverrunCost})
	}
	return nil
}

// Load picks the module's figures out of a load report. One that has none of
// them says nothing of load: taken for a queue of 0 it would hide a crowd.
func Load(report map[string]float64) *choice.Load {
	var l choice.Load
	l.InFlight, l.HasInFlight = report["busy_reqs"]
	l.Queue, l.HasQueue = report["pending"]
	l.Util, l.HasUtil = report["cpu_share"]
	if !l.HasInFlight && !l.HasQueue && !l.HasUtil {
		return nil
	}
	return &l
}

// FromMillis turns the settings' milliseconds into a duration of whole microseconds.
func FromMillis(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}

// keys maps the names in the module's complaints to the keys an operator wrote.
var keys = strings.NewReplacer("Index", "selfIndex", "ProbePrice", "prices.probe", "Gateways", "balancers", "Tick", "tickMs", "Classes", "services", "Plans", "contracts",
	".Name", ".name", ".Target", ".aimMs", ".Effect", ".effect", ".Group", ".group", ".Rate", ".quotaRate",
	".Burst", ".peakUnits", ".MaxOut", ".maxOut", ".CeilingRate", ".neverOverRate", ".CeilingBurst", ".ceilingBurst")

// Check reports the first setting that makes no sense, by its key.
func (s *Settings) Check() error {
	if err := s.Validate(); err != nil {
		return fmt.Errorf("%s", keys.Replace(err.Error()))
	}
	return nil
}
