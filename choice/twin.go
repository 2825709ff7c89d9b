package choice

import (
	"fmt"
	"math"
	"time"
)

// SavedState is what one process of a gateway hands over to the next, encoded as JSON. Tags keep the encoded
// names of earlier releases, since the two processes may be of different ones.
type SavedState struct {
	Limit     float64
	ValueRate float64       `json:"Density"`
	MeanLoss  float64       `json:"Stake"`
	MinLoss   float64       `json:"Floor"`
	OverQuota float64       `json:"Beyond"`
	FaultRate float64       `json:"Faults"`
	SendRate  float64       `json:"Sends"`
	StartedAt time.Duration `json:"Started"`
	CountedAt time.Duration `json:"Counted"`
	DoubtedAt time.Duration `json:"Doubt"`
	Classes   []ClassState
	Customers []CustomerState
	Servers   []ServerState
}

// ClassState holds a class's latency statistics.
type ClassState struct {
	Name      string
	Mean      float64
	Deviation float64 `json:"Dev"`
	Baseline  float64 `json:"Base"`
}

// CustomerState holds a customer's meter.
type CustomerState struct {
	Key, Plan    string
	TAT          time.Duration
	SeenAt       time.Duration `json:"Seen"`
	ReadAt       time.Duration
	Gateways     int     `json:"Width"` // of one process per gateway
	EmptyReads   float64 `json:"Over"`
	CeilingShare float64 `json:"Room"`
	ExcessShare  float64 `json:"Spare"` // of the ceiling's excess over the quota
}

// ServerState holds a server's health statistics.
type ServerState struct {
	Key          uint64
	Slowness     float64       `json:"Slow"`
	FaultRate    float64       `json:"Fault"`
	EjectedUntil time.Duration `json:"Until"`
}

// SetProcesses sets how many processes share this gateway's identity. For quotas, ceilings
// and limits each counts as a gateway of its own.
func (b *Balancer) SetProcesses(n int) {
	b.limit.ServersPerGateway *= float64(b.processes) / float64(n)
	b.processes = n
}

// ExportState returns the state for another process of this gateway. It includes half of
// this process's shares of ceilings, which are taken from its own.
func (b *Balancer) ExportState(now time.Duration) SavedState {
	s := SavedState{Limit: b.limit.Max, ValueRate: b.valueRate, MeanLoss: b.meanLoss, MinLoss: b.minLoss, OverQuota: b.overQuota, FaultRate: b.faultRate,
		SendRate: b.sendRate, StartedAt: b.startedAt, CountedAt: b.countedAt, DoubtedAt: b.doubtedAt}
	if math.IsInf(s.Limit, 1) { // not initialized yet
		s.Limit = 0
	}
	for _, c := range b.classes {
		s.Classes = append(s.Classes, ClassState{c.Name, c.Mean, c.Deviation, c.Baseline})
	}
	for _, c := range b.meters {
		b.assumeOthers(now, c)
		room, spare := c.ceiling.SplitHalf()
		s.Customers = append(s.Customers, CustomerState{c.key, c.plan.Name, c.tat, c.seenAt, c.readAt,
			max(1, c.gateways/b.processes), c.emptyReads, room, spare})
	}
	for _, be := range b.backends {
		s.Servers = append(s.Servers, ServerState{be.Key, be.Slowness, be.FaultRate, be.EjectedUntil})
	}
	return s
}

// validate returns an error for the first value that can't be valid.
func (s *SavedState) validate(now time.Duration) error {
	figures := []float64{s.ValueRate, s.MeanLoss, s.MinLoss, s.OverQuota, s.FaultRate, s.SendRate}
	times := []time.Duration{s.StartedAt, s.CountedAt, s.DoubtedAt}
	for _, c := range s.Classes {
		if figures = append(figures, c.Mean, c.Deviation, c.Baseline); !(c.Mean > 0) || !(c.Baseline > 0) {
			return fmt.Errorf("class %s: invalid latency: mean %v, baseline %v", c.Name, c.Mean, c.Baseline)
		}
	}
	for _, c := range s.Customers {
		figures, times = append(figures, c.EmptyReads), append(times, c.SeenAt, c.ReadAt)
		if math.IsNaN(c.CeilingShare) || math.IsNaN(c.ExcessShare) || c.Gateways < 1 || c.TAT > now+CounterTTL*60 {
			return fmt.Errorf("customer %s: invalid meter: %+v", c.Key, c)
		}
	}
	for _, be := range s.Servers {
		if figures = append(figures, be.Slowness, be.FaultRate); be.EjectedUntil > now+CounterTTL*60 {
			return fmt.Errorf("server %x: ejected for too long: %v", be.Key, be.EjectedUntil-now)
		}
	}
	for _, f := range figures {
		if !(f >= 0 && f < 1e9) {
			return fmt.Errorf("invalid statistic: %v", f)
		}
	}
	for _, t := range times {
		if t < 0 || t > now+time.Second {
			return fmt.Errorf("time out of range: %v from now", t-now)
		}
	}
	return nil
}

// ImportState starts from the state of another process of this gateway. An invalid state is
// rejected as a whole. Unknown plans, classes and servers are skipped.
func (b *Balancer) ImportState(now time.Duration, s SavedState) error {
	if err := s.validate(now); err != nil {
		return err
	}
	if s.Limit > 0 && s.Limit < 1e6 {
		b.limit.Max = s.Limit
	}
	b.valueRate, b.meanLoss, b.minLoss, b.overQuota, b.faultRate = s.ValueRate, s.MeanLoss, s.MinLoss, s.OverQuota, s.FaultRate
	b.sendRate, b.intervals, b.startedAt, b.countedAt, b.doubtedAt = s.SendRate, max(b.intervals, 1/0.2), s.StartedAt, s.CountedAt, s.DoubtedAt
	for _, c := range s.Classes {
		if cl := b.classes[c.Name]; cl != nil {
			cl.Mean, cl.Deviation, cl.Baseline = c.Mean, c.Deviation, c.Baseline
		}
	}
	for _, c := range s.Customers {
		p := b.plans[c.Plan]
		if p == nil || b.customers[c.Key] != nil {
			continue
		}
		x := &customer{key: c.Key, plan: p, tat: c.TAT, seenAt: c.SeenAt, gateways: c.Gateways * b.processes, readAt: c.ReadAt, assumedUntil: now, emptyReads: c.EmptyReads}
		x.ceiling.Restore(now, c.CeilingShare, c.ExcessShare)
		b.customers[c.Key], b.meters = x, append(b.meters, x)
	}
	for _, k := range s.Servers {
		for _, be := range b.backends {
			if be.Key == k.Key {
				be.Slowness, be.FaultRate, be.EjectedUntil = k.Slowness, k.FaultRate, k.EjectedUntil
			}
		}
	}
	return nil
}
