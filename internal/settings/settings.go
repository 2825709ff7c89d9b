// Package settings decodes the settings object of a deployment. The simulator sends it in
// its first message, and a gateway reads it from its configuration. Both programs use this
// decoder, so that they interpret the object in the same way.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"time"

	"asterwell/choice"
)

// Settings are the settings of package choice and those that only its host program needs.
type Settings struct {
	choice.Settings
	IdleClose time.Duration // servers close a connection at the latest after this idle time
	Reports   bool          // responses to probes contain load reports
}

// wire is the JSON form of the settings. Unknown keys are ignored. The names of this type and
// of rules appear in errors of the JSON decoder, which operators read.
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

// rules is the JSON form of a policy: services, contracts and prices.
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
	var object wire
	if err := json.Unmarshal(data, &object); err != nil {
		return Settings{}, err
	}
	s := Settings{IdleClose: FromMillis(object.Caps.IdleCloseMs), Reports: object.LoadInfo.Source != "" && object.LoadInfo.Source != "off"}
	s.Settings = choice.Settings{
		Gateways: object.Balancers, Index: object.SelfIndex, Zone: object.Locality, Tick: FromMillis(object.TickMs),
		MaxAttempts: object.Caps.TryLimit, Hedging: object.Caps.SecondCopies, Cancels: object.Caps.Cancel, Probes: object.Caps.Probes,
		RetryAfter: object.Caps.RetryAfter, MaxRetryAfter: FromMillis(object.Caps.MaxRetryAfterMs),
		ConnectTimeout: FromMillis(object.Caps.ConnectTimeoutMs),
		Subscribe:      object.Discovery == "subscribe", MaxNewsAge: FromMillis(object.Safety.AskWithinMs),
		Weighted: object.WeightSource != "off" && object.WeightSource != "",
		Counter:  object.FamilyInfo.SharedCounter, CounterTimeout: FromMillis(object.FamilyInfo.CounterTimeoutMs),
		MaxUnits: object.FamilyInfo.MaxUnits, PostPaid: object.FamilyInfo.PostPaid,
		AnswerSlack: FromMillis(object.Safety.AnswerSlackMs), DrainGrace: FromMillis(object.Safety.DrainGraceMs),
		ColdCapacity: object.Safety.ColdFrom, WarmupTime: FromMillis(object.Safety.ColdMs),
		OverloadRatio: object.Safety.FallMultiple, OverloadTime: FromMillis(object.Safety.TipAfterMs),
		CounterPrice: object.FamilyInfo.CountFee,
	}
	return s, object.applyTo(&s)
}

// applyTo replaces the classes, plans and prices of the settings by those of the policy.
func (p *rules) applyTo(s *Settings) error {
	s.Classes, s.Plans = nil, nil
	s.CrossZone, s.ProbePrice, s.WastePrice, s.LateFailPrice = p.Prices.CrossZone, p.Prices.Probe, p.Prices.Waste, p.Prices.LateFail
	for _, service := range p.Services {
		effect, ok := map[string]choice.Effect{
			"retryable": choice.Retryable, "dedup": choice.Keyed, "fragile": choice.NonRetryable}[service.Effect]
		if !ok {
			return fmt.Errorf("services: %s: unknown effect %q", service.Name, service.Effect)
		}
		group, ok := map[string]choice.Group{
			"": choice.AllBackends, "all": choice.AllBackends, "zone": choice.SameZone, "cell": choice.SameCell}[service.Group]
		if !ok {
			return fmt.Errorf("services: %s: unknown group %q", service.Name, service.Group)
		}
		s.Classes = append(s.Classes, choice.Class{Name: service.Name, Target: FromMillis(service.AimMs), Deadline: FromMillis(service.DeadlineMs),
			LateValue: service.LateWorth, Value: service.Value, Effect: effect, Group: group, KeyTTL: FromMillis(service.KeyTTLMs),
			Stream: service.Stream})
	}
	for _, contract := range p.Contracts {
		s.Plans = append(s.Plans, choice.Plan{Name: contract.Name, Rate: contract.QuotaRate, Burst: contract.PeakUnits, MaxOut: contract.MaxOut,
			CeilingRate: contract.NeverOverRate, CeilingBurst: contract.CeilingBurst, CeilingSlack: contract.HardSlack,
			ValueFactor: contract.ValueFactor, ExcessWorth: contract.ExcessWorth, OverrunCost: contract.OverrunCost})
	}
	return nil
}

// Load converts a load report to the form of package choice. It returns nil if the report has
// none of the values used there: treating it as a queue of 0 would hide an overloaded server.
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

// FromMillis converts milliseconds to a duration, rounded to whole microseconds.
func FromMillis(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}

// settingKeys replaces the field names in errors of package choice by the keys of the JSON
// form, which the operator knows.
var settingKeys = strings.NewReplacer("Index", "selfIndex", "ProbePrice", "prices.probe", "Gateways", "balancers", "Tick", "tickMs", "Classes", "services", "Plans", "contracts",
	".Name", ".name", ".Target", ".aimMs", ".Effect", ".effect", ".Group", ".group", ".Rate", ".quotaRate",
	".Burst", ".peakUnits", ".MaxOut", ".maxOut", ".CeilingRate", ".neverOverRate", ".CeilingBurst", ".ceilingBurst")

// Check validates the settings. Its error names the key of the first invalid one.
func (s *Settings) Check() error {
	if err := s.Validate(); err != nil {
		return fmt.Errorf("%s", settingKeys.Replace(err.Error()))
	}
	if err := checkUnique("services", s.Classes, func(c choice.Class) string { return c.Name }); err != nil {
		return err
	}
	return checkUnique("contracts", s.Plans, func(p choice.Plan) string { return p.Name })
}

// checkUnique rejects two elements with the same name: requests name theirs, and would get the rules of either.
func checkUnique[T any](key string, elements []T, nameOf func(T) string) error {
	first := map[string]int{}
	for i, element := range elements {
		name := nameOf(element)
		if j, ok := first[name]; ok {
			return fmt.Errorf("%s[%d].name %q is the name of %s[%d] too", key, i, name, key, j)
		}
		first[name] = i
	}
	return nil
}
