package policy

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// The fate of a change follows from the log's commands alone.
func TestRegister(t *testing.T) {
	for name, c := range map[string]struct {
		log  []Command
		want []Fate
		at   int64
	}{
		"turned":               {[]Command{{Kind: Propose, ID: 1}, {Kind: Turn, ID: 1}}, []Fate{Committed}, 1},
		"withdrawn":            {[]Command{{Kind: Propose, ID: 1}, {Kind: Withdraw, ID: 1}, {Kind: Turn, ID: 1}}, []Fate{Withdrawn}, 0},
		"too late to withdraw": {[]Command{{Kind: Propose, ID: 1}, {Kind: Turn, ID: 1}, {Kind: Withdraw, ID: 1}}, []Fate{Committed}, 1},
		"two at once":          {[]Command{{Kind: Propose, ID: 1}, {Kind: Propose, ID: 2}, {Kind: Turn, ID: 2}, {Kind: Turn, ID: 1}}, []Fate{Committed, Refused}, 1},
		"an old base":          {[]Command{{Kind: Propose, ID: 1}, {Kind: Turn, ID: 1}, {Kind: Propose, ID: 2}}, []Fate{Committed, Refused}, 1},
		"a repeat":             {[]Command{{Kind: Propose, ID: 1}, {Kind: Turn, ID: 1}, {Kind: Propose, ID: 1}, {Kind: Turn, ID: 1}}, []Fate{Committed}, 1},
		"another's turn":       {[]Command{{Kind: Propose, ID: 1}, {Kind: Turn, ID: 9}}, []Fate{UnderWay}, 0},
	} {
		r := NewRegister()
		for _, x := range c.log {
			x.Text = []byte("{}")
			r.Apply(x)
		}
		var got []Fate
		for _, x := range r.Changes {
			got = append(got, x.Fate)
		}
		if d := cmp.Diff(c.want, got); d != "" || r.Version != c.at {
			t.Errorf("%s: version %d, want %d; %s", name, r.Version, c.at, d)
		}
		back, err := Restore(r.Snapshot())
		if err != nil || cmp.Diff(r, back) != "" {
			t.Errorf("%s: restored: %v %s", name, err, cmp.Diff(r, back))
		}
	}
}

// Data in a later format is rejected.
func TestLaterFormat(t *testing.T) {
	if _, err := Decode([]byte(`{"format":99,"kind":"propose","id":1}`)); err == nil {
		t.Error("a command of a later format is accepted")
	}
	if _, err := Restore([]byte(`{"format":99}`)); err == nil {
		t.Error("a snapshot of a later format is accepted")
	}
}

// No customer gains units by quota changes, however many there are.
func TestCarry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room := rapid.Float64Range(-50, 100).Draw(t, "room")
		had := room
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			to := Quota{Rate: rapid.Float64Range(0.1, 100).Draw(t, "rate"), Burst: rapid.Float64Range(1, 200).Draw(t, "burst")}
			room = Carry(room, to, 5)
			if room > had || room > to.Burst {
				t.Fatalf("%v units available after a change, %v before; the burst is %v", room, had, to.Burst)
			}
		}
		if had < 0 && room != had {
			t.Fatalf("debt was %v units, is %v", had, room)
		}
	})
	if got := Carry(math.Inf(1), Quota{1, 100}, 5); got != 20 {
		t.Errorf("without an earlier quota: %v units at each of 5 gateways, want 20", got)
	}
}

// fleet is a coordinator and its gateways, with perfect links and one clock.
type fleet struct {
	t       *testing.T
	now     time.Duration
	reg     *Register
	c       *Coordinator
	holders map[uint64]*Holder
	silent  map[uint64]bool
	checks  map[uint64]string // refusals
	leases  map[uint64]Lease
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, reg: NewRegister(), holders: map[uint64]*Holder{}, silent: map[uint64]bool{}, checks: map[uint64]string{}, leases: map[uint64]Lease{}}
	f.c = NewCoordinator(DefaultTerms, f.reg, 2, 0)
	for i := range n {
		f.holders[uint64(i+1)] = NewHolder(DefaultTerms, string(rune('a'+i)), "", "")
	}
	f.run(2 * time.Second)
	return f
}

// run advances time in steps of 5 ms.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 5 * time.Millisecond {
		for id := uint64(1); id <= uint64(len(f.holders)); id++ {
			if r := f.holders[id].Tick(f.now); r != nil && !f.silent[id] {
				f.c.Renew(f.now, id, *r)
			}
		}
		f.c.Tick(f.now)
		for again := true; again; {
			o := f.c.Out()
			again = o.Read || len(o.Propose) > 0
			for _, x := range o.Propose {
				f.reg.Apply(x)
				f.c.Applied(f.now)
			}
			if o.Read {
				f.c.Confirmed(f.now)
			}
			for _, g := range o.Grants {
				if f.silent[g.To] {
					continue
				}
				w := f.holders[g.To].Grant(f.now, g.Grant)
				if w.Check {
					f.holders[g.To].Checked(g.Change, g.Next, f.checks[g.To])
				}
			}
		}
		for id, h := range f.holders {
			f.leases[id], _ = h.Lease()
			if l := f.leases[id]; l.Until > f.now && l.Version != f.reg.Version && f.c.stage != Holding {
				f.t.Fatalf("at %v %d has a lease for version %d, %d is in force", f.now, id, l.Version, f.reg.Version)
			}
		}
	}
}

func (f *fleet) propose(id uint64) {
	f.reg.Apply(Command{Kind: Propose, ID: id, Base: f.reg.Version, Text: []byte("{}")})
	f.c.Applied(f.now)
}

func (f *fleet) served() (n int) {
	for _, l := range f.leases {
		if l.Until > f.now && l.Version == f.reg.Version {
			n++
		}
	}
	return n
}

// With all gateways present, a change is in force at all of them within 100 ms.
func TestTurn(t *testing.T) {
	f := newFleet(t, 5)
	f.propose(7)
	f.run(100 * time.Millisecond)
	if f.reg.Version != 1 || f.served() != 5 {
		t.Errorf("version %d, %d serve by it", f.reg.Version, f.served())
	}
}

// A silent gateway delays a change until its lease has expired, and no longer. It then
// decides nothing by the old version.
func TestFence(t *testing.T) {
	f := newFleet(t, 5)
	f.silent[3] = true
	f.propose(7)
	f.run(400 * time.Millisecond)
	if f.reg.Version != 0 || f.served() != 5 {
		t.Errorf("while one is silent: version %d, %d serve", f.reg.Version, f.served())
	}
	f.run(2 * time.Second)
	if f.reg.Version != 1 || f.served() != 4 {
		t.Errorf("once its lease is out: version %d, %d serve by it", f.reg.Version, f.served())
	}
	f.silent[3] = false
	f.run(time.Second)
	if f.served() != 5 {
		t.Errorf("after it is back: %d serve", f.served())
	}
}

// A change that one gateway rejects is withdrawn with that reason; all keep the old version.
func TestRefusal(t *testing.T) {
	f := newFleet(t, 5)
	f.checks[2] = "unknown key"
	f.propose(7)
	f.run(200 * time.Millisecond)
	if c := f.reg.Find(7); c.Fate != Withdrawn || c.Why != "b can't take it: unknown key" || f.served() != 5 {
		t.Errorf("%+v, %d serve", c, f.served())
	}
}

// A gateway that checked the change and then stops delays it by no more than its lease.
func TestDiesAfterItAgreed(t *testing.T) {
	f := newFleet(t, 5)
	f.propose(7)
	// It has checked the change but doesn't acknowledge the hold.
	m := f.c.members[4]
	m.Checked = 7
	f.silent[4] = true
	f.run(3 * time.Second)
	if f.reg.Version != 1 || f.served() != 4 {
		t.Errorf("version %d, %d serve by it", f.reg.Version, f.served())
	}
}

// A leader that pauses during a hold finds all leases expired. That no acknowledgement is
// missing then is no agreement; without Still it would propose the turn.
func TestHoldWithoutLeases(t *testing.T) {
	for _, asked := range []bool{true, false} {
		f := newFleet(t, 5)
		enough := func() (all bool) {
			n := 0
			for _, m := range f.c.members {
				if m.leaseUntil > f.now && m.Checked == 7 {
					n++
				}
			}
			return n == 5
		}
		if f.c.Enough = enough; asked {
			f.c.Still = enough
		}
		f.propose(7)
		for f.c.stage != Holding {
			for id := uint64(1); id <= 5; id++ {
				if r := f.holders[id].Tick(f.now); r != nil {
					r.Checked = 7
					f.c.Renew(f.now, id, *r)
				}
			}
			f.c.Confirmed(f.now)
			f.c.Out()
			f.now += time.Millisecond
		}
		f.now += 5 * time.Second
		f.c.Tick(f.now)
		if turned := f.c.stage == Turning; turned == asked {
			t.Errorf("Still set: %v, turn proposed: %v", asked, turned)
		}
	}
}

// A late answer to a renewal from before a hold gives no lease.
func TestLateGrant(t *testing.T) {
	h := NewHolder(DefaultTerms, "a", "", "")
	first := h.Tick(0)
	h.Grant(1, Grant{Seq: first.Seq, Version: 0, Lease: time.Second})
	second := h.Tick(time.Second)
	h.Grant(time.Second+1, Grant{Hold: 5})
	if r := h.Tick(time.Second + 2); r == nil || r.Held != 5 {
		t.Fatalf("the hold is not acknowledged at once: %+v", r)
	}
	h.Grant(time.Second+3, Grant{Seq: second.Seq, Version: 0, Lease: time.Second})
	if l, _ := h.Lease(); l.Until != 0 {
		t.Errorf("an answer from before the hold gave a lease: %+v", l)
	}
}

// A leader asks the voters for a confirmation, pauses with the answer unread, and then reads
// a later renewal first. Another leader may have been elected meanwhile, so only the renewal
// from before the confirmation was requested gets a lease.
func TestCallWhileRead(t *testing.T) {
	f := newFleet(t, 1)
	h := f.holders[1]
	f.now += DefaultTerms.Renew
	before := h.Tick(f.now)
	f.c.Renew(f.now, 1, *before)
	if !f.c.Out().Read {
		t.Fatal("no confirmation is requested")
	}
	f.now += 3 * time.Second // the leader's process is paused
	late := h.Tick(f.now)
	f.c.Renew(f.now, 1, *late)
	f.c.Confirmed(f.now)
	o := f.c.Out()
	for _, g := range o.Grants {
		h.Grant(f.now, g.Grant)
	}
	if l, _ := h.Lease(); l.Until > f.now || !o.Read {
		t.Errorf("lease until %v at %v by a confirmation requested before the renewal; another requested: %v", l.Until, f.now, o.Read)
	}
	f.c.Confirmed(f.now)
	for _, g := range f.c.Out().Grants {
		h.Grant(f.now, g.Grant)
	}
	if l, _ := h.Lease(); l.Until != f.now+DefaultTerms.Lease {
		t.Errorf("lease until %v at %v after the second confirmation", l.Until, f.now)
	}
	// A gateway that renews again because confirmations are slow still gets its lease.
	first := h.Tick(f.now + DefaultTerms.Renew)
	f.c.Renew(f.now+DefaultTerms.Renew, 1, *first)
	f.c.Out()
	second := h.Tick(f.now + 2*DefaultTerms.Renew)
	f.c.Renew(f.now+2*DefaultTerms.Renew, 1, *second)
	f.c.Confirmed(f.now + 2*DefaultTerms.Renew)
	for _, g := range f.c.Out().Grants {
		h.Grant(f.now+2*DefaultTerms.Renew, g.Grant)
	}
	if l, _ := h.Lease(); l.Until != f.now+DefaultTerms.Renew+DefaultTerms.Lease {
		t.Errorf("lease until %v for a renewal at %v", l.Until, f.now+DefaultTerms.Renew)
	}
}

// Visits every state of small models with late, lost and duplicated messages, and part of
// a larger one with process restarts, limited to about a second; the policy benchmark visits
// more. The last model has a leader that pauses with an unread confirmation: a lease wrongly
// granted for a later renewal shows within 92,799 states.
func TestExplore(t *testing.T) {
	for _, b := range []Bounds{{Members: 2, Changes: 1}, {Members: 2, Changes: 1, Lost: 1}, {Members: 3, Changes: 2, Lost: 1, Doubled: 1, Deaths: 1, Most: 1, States: 10000},
		{Members: 1, Changes: 1, Reads: true, Stalls: 1}, {Members: 1, Changes: 2, Reads: true, Stalls: 1, States: 100000}} {
		states, all, broken := Explore(b)
		t.Logf("%+v: %d states, all of them: %v", b, states, all)
		if broken != "" || all != (b.States == 0) || states < 3000 {
			t.Errorf("%+v: %d states, all %v: %s", b, states, all, broken)
		}
	}
}
