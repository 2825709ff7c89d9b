package controlplane

import (
	"time"

	"asterwell/internal/faultrules"
	"asterwell/internal/fsm"
)

// FaultRulesConfig is what a process needs to apply fault rules.
type FaultRulesConfig struct {
	MaxLifetime time.Duration     // upper bound of a rule set's lifetime; 0: fault rules are disabled
	Judge       *faultrules.Judge // decides which requests a rule applies to
	Disk        *faultrules.Disk
}

func (c *Config) newFaultRules(now fsm.Time) *faultrules.Machine {
	if c.FaultRules.Judge == nil {
		c.FaultRules.Judge = faultrules.NewJudge()
	}
	return faultrules.New(faultrules.Config{Self: c.Self, Name: c.Name, Life: c.Incarnation, Seed: c.Seed, Member: c.Member, Longest: c.FaultRules.MaxLifetime, Bug: c.Bugs.FaultRules},
		c.FaultRules.Judge, c.FaultRules.Disk, now)
}

// applyFaultRules passes an input to the fault rules, after telling them the state of consensus, and
// carries out their output.
func (m *Machine) applyFaultRules(input func() faultrules.Out) {
	status := m.consensus.Status()
	m.faultRules.Place(faultrules.Place{N: status.Epoch, Primary: status.Primary, Leads: status.Role == "primary", Members: status.Members})
	out := input()
	m.send(out.Send)
	if out.Write != nil {
		if m.out.FaultRulesWrite != nil { // a write holds the full state, but only its own additions to the record of strikes
			out.Write.Notes = append(m.out.FaultRulesWrite.Notes, out.Write.Notes...)
		}
		m.out.FaultRulesWrite = out.Write
	}
	if out.News != "" {
		m.out.FaultRulesLog = out.News
	}
	for _, a := range out.Answers {
		m.out.Replies = append(m.out.Replies, Reply{a.ID, a.Answer})
	}
}

// CallFaultRules handles an operator's call about fault rules.
func (m *Machine) CallFaultRules(now fsm.Time, call uint64, op faultrules.Op, doc faultrules.Doc) Output {
	m.applyFaultRules(func() faultrules.Out { return m.faultRules.Call(now, call, op, doc) })
	return m.takeOutput()
}

// FaultRulesWritten reports that a write of fault rules, and all before it, are synced to disk.
func (m *Machine) FaultRulesWritten(now fsm.Time, seq uint64) Output {
	m.applyFaultRules(func() faultrules.Out { return m.faultRules.Written(now, seq) })
	return m.takeOutput()
}

// RequestStrikes requests more strikes of the budget, for requests that wait for one.
func (m *Machine) RequestStrikes(now fsm.Time) Output {
	m.applyFaultRules(func() faultrules.Out { return m.faultRules.Hurry(now) })
	return m.takeOutput()
}

// HeldFaultRules returns the turn and version of the fault rules held here, and whether they have ended.
func (m *Machine) HeldFaultRules() (turn uint64, version uint32, over bool) {
	turn, version = m.faultRules.Held()
	return turn, version, !m.faultRules.Holds()
}
