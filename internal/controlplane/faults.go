package controlplane

import (
	"time"

	"asterwell/internal/faultrules"
	"asterwell/internal/fsm"
)

// Faults is what a process has for fault rules.
type Faults struct {
	Longest time.Duration     // that they may live; 0: there are none
	Judge   *faultrules.Judge // what requests are held against
	Disk    *faultrules.Disk
}

func (c *Config) faults(now fsm.Time) *faultrules.Machine {
	if c.Faults.Judge == nil {
		c.Faults.Judge = faultrules.NewJudge()
	}
	return faultrules.New(faultrules.Config{Self: c.Self, Name: c.Name, Life: c.Life, Seed: c.Seed, Member: c.Member, Longest: c.Faults.Longest, Bug: c.Bugs.Bane},
		c.Faults.Judge, c.Faults.Disk, now)
}

// ruled gives an input to the fault rules, once they know how agreement stands.
func (k *Knot) ruled(do func() faultrules.Out) {
	s := k.pact.Status()
	k.bane.Place(faultrules.Place{N: s.Epoch, Primary: s.Primary, Leads: s.Role == "primary", Members: s.Members})
	out := do()
	k.send(out.Send)
	if out.Write != nil {
		if k.out.Rules != nil { // the newest is whole but for what goes to the record's end
			out.Write.Notes = append(k.out.Rules.Notes, out.Write.Notes...)
		}
		k.out.Rules = out.Write
	}
	if out.News != "" {
		k.out.News = out.News
	}
	for _, a := range out.Answers {
		k.out.Replies = append(k.out.Replies, Reply{a.ID, a.Answer})
	}
}

// Rule makes an operator's call for fault rules.
func (k *Knot) Rule(now fsm.Time, call uint64, op faultrules.Op, doc faultrules.Doc) Out {
	k.ruled(func() faultrules.Out { return k.bane.Call(now, call, op, doc) })
	return k.end()
}

// Ruled says that a write of fault rules, and all before it, are synced.
func (k *Knot) Ruled(now fsm.Time, seq uint64) Out {
	k.ruled(func() faultrules.Out { return k.bane.Written(now, seq) })
	return k.end()
}

// Short asks for strikes that requests wait for.
func (k *Knot) Short(now fsm.Time) Out {
	k.ruled(func() faultrules.Out { return k.bane.Hurry(now) })
	return k.end()
}

// Ruling is the set of fault rules held here: its turn and version, and whether it has ended.
func (k *Knot) Ruling() (turn uint64, version uint32, over bool) {
	turn, version = k.bane.Held()
	return turn, version, !k.bane.Holds()
}
