package consensus

import (
	"cmp"
	"slices"
	"time"

	"asterwell/internal/fsm"
)

// founder is the process that the first seed names. It gives out the first record
// once; a process that knows of any founding gives out none.
type founder struct {
	mine  bool
	hello map[string]joiner
	grown fsm.Time // when the last newcomer came
	asked fsm.Time
	rec   EpochRecord
}

func newFounder(c Config, now fsm.Time) founder {
	return founder{mine: len(c.Seeds) > 0 && c.Seeds[0] == c.Self, hello: map[string]joiner{},
		grown: now, asked: now}
}

// greet makes a member without a seat in force known.
func (m *Machine) greet() {
	if !m.c.Member {
		m.inquire()
		return
	}
	if m.seated() && m.d.Record.Active || m.notice != 0 {
		return
	}
	every := helloEvery
	if !m.view.none() {
		every *= 2
	}
	if m.now-m.hello < every {
		return
	}
	m.hello = m.now
	h := JoinRequest{Member: Member{Addr: m.c.Self, DiskID: m.d.DiskID, Name: m.c.Name, Zone: m.c.Zone},
		NeverMember: m.d.NeverMember}
	if !m.d.Record.Active {
		h.Record = m.d.Record
	}
	who := m.near()
	if p := m.view.primary(); p != "" && m.now-m.primed < vacant {
		who = []string{p}
	}
	if slices.Contains(m.seeds, m.c.Self) {
		m.durable(m.c.Self, h)
	}
	for _, to := range who {
		m.durable(to, h)
	}
}

func (m *Machine) onHello(from string, t JoinRequest) {
	if t.Member.Addr != from {
		return
	}
	if l := m.lead; l != nil {
		if !l.rec.has(from, t.Member.DiskID) {
			l.joiners[from] = joiner{seat: t.Member, grow: t.NeverMember && m.never(t.Member), at: m.now}
		}
		m.tell(from)
		return
	}
	if !m.view.none() {
		m.tell(from)
		return
	}
	if !m.founder.mine {
		return
	}
	f := &m.founder
	if !t.Record.none() && f.rec.none() {
		f.rec = t.Record
	}
	if !f.rec.none() {
		if t.Record.none() && f.rec.has(from, t.Member.DiskID) {
			m.send(from, FirstEpoch{Record: f.rec})
		}
		return
	}
	if old, ok := f.hello[from]; t.NeverMember && (!ok || old.seat.DiskID != t.Member.DiskID) {
		f.grown = m.now
	}
	f.hello[from] = joiner{seat: t.Member, grow: t.NeverMember, at: m.now}
}

// never says whether the address has no seat, so that one that was wiped does not count twice.
func (m *Machine) never(s Member) bool {
	return !slices.ContainsFunc(m.lead.rec.Members, func(o Member) bool { return o.Addr == s.Addr })
}

// found gives out the first record when no more members come.
func (m *Machine) found() {
	f := &m.founder
	if !f.mine || !f.rec.none() || !m.view.none() || !m.d.Record.none() {
		return
	}
	if m.now-f.asked >= helloEvery {
		f.asked = m.now
		for _, to := range m.near() {
			m.send(to, ViewRequest{})
		}
	}
	var set []Member
	for _, j := range f.hello {
		if j.grow && m.now-j.at < time.Second {
			set = append(set, j.seat)
		}
	}
	if len(set) < 2*m.c.ToleratedLosses+1 || m.now-f.grown < settle || m.now-m.start < settle {
		return
	}
	slices.SortFunc(set, func(a, b Member) int { return cmp.Compare(a.Addr, b.Addr) })
	f.rec = EpochRecord{ClusterID: m.rng.Uint64() | 1, Ballot: Ballot{N: 1}, Members: set, OldMembers: set,
		Writers: spread(set, m.c.ToleratedLosses+1)}
	for _, s := range set {
		m.send(s.Addr, FirstEpoch{Record: f.rec})
	}
}

// inquire: who has no disk and came up after the last epoch has not been told of it.
func (m *Machine) inquire() {
	if !m.view.none() || m.now-m.hello < inquireEvery {
		return
	}
	m.hello = m.now
	if who := m.near(); len(who) > 0 {
		m.turn++
		m.send(who[m.turn%len(who)], ViewRequest{})
	}
}
