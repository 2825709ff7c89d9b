package controlplane

import (
	"time"

	"asterwell/internal/faultrules"
	"asterwell/internal/fsm"
)

// Faults is what a process has for fault rules.
type FaultRulesConfig struct {
	MaxLifetime time.Duration     // that they may live; 0: there are none
	Judge       *faultrules.Judge // what requests are held against
	Disk        *faultrules.Disk
}

func (c *Config) faults(now fsm.Time) *faultrules.Machine {
	if c.FaultRules.Judge == nil {
		c.FaultRules.Judge = faultrules.NewJudge()
	}
	return faultrules.New(faultrules.Config{Self: c.Self, Name: c.Name, Life: c.Incarnation, Seed: c.Seed, Member: c.Member, Longest: c.FaultRules.MaxLifetime, Bug: c.Bugs.FaultRules},
		c.FaultRules.Judge, c.FaultRules.Disk, now)
}

// ruled gives an input to the fault rules, once they know how agreement stands.
func (k *Machine) ruled(do func() faultrules.Out) {
	s := k.pact.Status()
	k.bane.Place(faultrules.Place{N: s.Epoch, Primary: s.Primary, Leads: s.Role == "primary", Members: s.Members})
	out := do()
	k.send(out.Send)
	if out.Write != nil {
		if k.out.FaultRulesWrite != nil { // the newest is whole but for what goes to the record's end
			out.Write.Notes = append(k.out.FaultRulesWrite.Notes, out.Write.Notes...)
		}
		k.out.FaultRulesWrite = out.Write
	}
	if out.News != "" {
		k.out.FaultRulesLog = out.News
	}
	for _, a := range out.Answers {
		k.out.Replies = append(k.out.Replies, Reply{a.ID, a.Answer})
	}
}

// Rule makes an operator's call for fault rules.
func (k *Machine) CallFaultRules(now fsm.Time, call uint64, op faultrules.Op, doc faultrules.Doc) Output {
	k.ruled(func() faultrules.Out { return k.bane.Call(now, call, op, doc) })
	return k.end()
}

// Ruled says that a write of fault rules, and all before it, are synced.
func (k *Machine) FaultRulesWritten(now fsm.Time, seq uint64) Output {
	k.ruled(func() faultrules.Out { return k.bane.Written(now, seq) })
	return k.end()
}

// Short asks for strikes that requests wait for.
func (k *Machine) RequestStrikes(now fsm.Time) Output {
	k.ruled(func() faultrules.Out { return k.bane.Hurry(now) })
	return k.end()
}

// Ruling is the set of fault rules held here: its turn and version, and whether it has ended.
func (k *Machine) HeldFaultRules() (turn uint64, version uint32, over bool) {
	turn, version = k.bane.Held()
	return turn, version, !k.bane.Holds()
}
