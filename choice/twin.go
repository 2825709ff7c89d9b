package choice

import (
	"fmt"
	"math"
	"time"
)

// Learnt is what one process of a gateway tells the next of what it has learnt.
type SavedState struct {
	Limit, Density, Stake, Floor, Beyond, Faults, Sends float64
	Started, Counted, Doubt                             time.Duration
	Classes                                             []ClassState
	Customers                                           []CustomerState
	Servers                                             []ServerState
}

// ClassState is what is known of a class's answers.
type ClassState struct {
	Name            string
	Mean, Dev, Base float64
}

// CustomerState is a customer's meter.
type CustomerState struct {
	Key, Plan         string
	TAT, Seen, ReadAt time.Duration
	Width             int // without twins
	Over, Room, Spare float64
}

// ServerState is what is believed of a server.
type ServerState struct {
	Key         uint64
	Slow, Fault float64
	Until       time.Duration
}

// Twins tells how many processes are this gateway. For quotas, ceilings and limits
// each counts as a gateway of its own.
func (b *Balancer) SetProcesses(n int) {
	b.limit.ServersPerGateway *= float64(b.twins) / float64(n)
	b.twins = n
}

// Hand tells another process of this gateway what this one knows, and gives it half of
// its shares of ceilings, which count twice in none.
func (b *Balancer) ExportState(now time.Duration) SavedState {
	s := SavedState{Limit: b.limit.Max, Density: b.density, Stake: b.stake, Floor: b.floor, Beyond: b.beyond, Faults: b.faults,
		Sends: b.sends, Started: b.started, Counted: b.countedAt, Doubt: b.doubtAt}
	if math.IsInf(s.Limit, 1) { // it has not begun
		s.Limit = 0
	}
	for _, c := range b.classes {
		s.Classes = append(s.Classes, ClassState{c.Name, c.Mean, c.Deviation, c.Baseline})
	}
	for _, c := range b.idlers {
		b.assume(now, c)
		room, spare := c.share.SplitHalf()
		s.Customers = append(s.Customers, CustomerState{c.key, c.plan.Name, c.tat, c.seen, c.readAt,
			max(1, c.width/b.twins), c.over, room, spare})
	}
	for _, be := range b.fleet {
		s.Servers = append(s.Servers, ServerState{be.Key, be.Slowness, be.FaultRate, be.EjectedUntil})
	}
	return s
}

// strange reports the first figure that no process can have meant.
func (s *SavedState) strange(now time.Duration) error {
	figures := []float64{s.Density, s.Stake, s.Floor, s.Beyond, s.Faults, s.Sends}
	times := []time.Duration{s.Started, s.Counted, s.Doubt}
	for _, c := range s.Classes {
		if figures = append(figures, c.Mean, c.Dev, c.Base); !(c.Mean > 0) || !(c.Base > 0) {
			return fmt.Errorf("class %s takes %v, %v at least", c.Name, c.Mean, c.Base)
		}
	}
	for _, c := range s.Customers {
		figures, times = append(figures, c.Over), append(times, c.Seen, c.ReadAt)
		if math.IsNaN(c.Room) || math.IsNaN(c.Spare) || c.Width < 1 || c.TAT > now+CounterNameTTL*60 {
			return fmt.Errorf("customer %s: %+v", c.Key, c)
		}
	}
	for _, be := range s.Servers {
		if figures = append(figures, be.Slow, be.Fault); be.Until > now+CounterNameTTL*60 {
			return fmt.Errorf("server %x is left out for %v", be.Key, be.Until-now)
		}
	}
	for _, f := range figures {
		if !(f >= 0 && f < 1e9) {
			return fmt.Errorf("a figure of %v", f)
		}
	}
	for _, t := range times {
		if t < 0 || t > now+time.Second {
			return fmt.Errorf("a time %v from now", t-now)
		}
	}
	return nil
}

// Take begins with what another process of this gateway knew. Of a state with anything
// strange in it nothing is taken. Plans, classes and servers that are not here are left out.
func (b *Balancer) ImportState(now time.Duration, s SavedState) error {
	if err := s.strange(now); err != nil {
		return err
	}
	if s.Limit > 0 && s.Limit < 1e6 {
		b.limit.Max = s.Limit
	}
	b.density, b.stake, b.floor, b.beyond, b.faults = s.Density, s.Stake, s.Floor, s.Beyond, s.Faults
	b.sends, b.beats, b.started, b.countedAt, b.doubtAt = s.Sends, max(b.beats, 1/0.2), s.Started, s.Counted, s.Doubt
	for _, c := range s.Classes {
		if cl := b.classes[c.Name]; cl != nil {
			cl.Mean, cl.Deviation, cl.Baseline = c.Mean, c.Dev, c.Base
		}
	}
	for _, c := range s.Customers {
		p := b.plans[c.Plan]
		if p == nil || b.customers[c.Key] != nil {
			continue
		}
		x := &customer{key: c.Key, plan: p, tat: c.TAT, seen: c.Seen, width: c.Width * b.twins, readAt: c.ReadAt, assumeAt: now, over: c.Over}
		x.share.Restore(now, c.Room, c.Spare)
		b.customers[c.Key], b.idlers = x, append(b.idlers, x)
	}
	for _, k := range s.Servers {
		for _, be := range b.fleet {
			if be.Key == k.Key {
				be.Slowness, be.FaultRate, be.EjectedUntil = k.Slow, k.Fault, k.Until
			}
		}
	}
	return nil
}
