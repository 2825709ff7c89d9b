package rollout

import (
	"time"

	"asterwell/internal/consensus"
	"asterwell/internal/fsm"
	"asterwell/internal/policy"
)

// Gate tells whether a request may be decided by the rules in force here.
type Gate struct {
	Version     uint32 // of those rules
	Together    bool
	Reads       bool // pure requests too
	Lease       policy.Lease
	ReopensSoon bool // it will be open again in a moment
}

// Allows is asked with a time that was taken after the request has come.
func (g Gate) Allows(now fsm.Time, version uint32) bool {
	return version == g.Version && (!g.Together || g.Lease.Version == int64(version) && now < g.Lease.Until)
}

// Gate is how it stands.
func (m *Machine) Gate() Gate {
	l, holds := m.holder.Lease()
	return Gate{Version: m.adopted, Together: m.rollout.Together, Reads: m.rollout.Reads, Lease: l, ReopensSoon: holds}
}

// pullEvery is how often a node asks for a document that the primary has and it lacks, and
// how long it waits for it to come by itself: longer where documents are large.
const pullEvery = 100 * time.Millisecond

// pull asks for what the primary has kept. What is prepared comes with the text of what is
// live, so it takes twice as long as that.
func (m *Machine) pull(now fsm.Time, from string, kept consensus.Doc) {
	if !kept.Supersedes(m.doc) {
		m.lacks = 0
		return
	}
	if m.lacks == 0 {
		m.lacks = now
	}
	if wait := pullEvery + 2*consensus.TransferTime(len(m.doc.Body)); now-m.lacks >= wait && now-m.pulled >= wait {
		m.pulled = now
		m.send(from, consensus.Pull{Version: kept.Version - 1}) // or higher, and so the amended one too
	}
}

// prepare confirms or refuses what is prepared, once it is held and has been read.
func (m *Machine) prepare(now fsm.Time) {
	if m.side.Fate != Prepared || !m.synced || !m.rollout.Together {
		return
	}
	switch v := &m.verdict; {
	case v.version != m.doc.Version:
		*v = verdict{version: m.doc.Version}
		m.out.Check = &consensus.Doc{Version: m.doc.Version, Body: m.doc.Body}
	case v.known:
		m.confirm(now, uint64(v.version), v.refusal)
	}
}

func (m *Machine) confirm(now fsm.Time, change uint64, refusal string) {
	m.holder.Checked(change, []byte{}, refusal)
	m.ask(now)
}

// ask sends the call that is due.
func (m *Machine) ask(now fsm.Time) {
	if m.primary == "" {
		m.seek(now)
		return
	}
	r := m.holder.Tick(now)
	if r == nil {
		return
	}
	if m.holder.Missed() > 1 {
		m.seek(now)
	}
	m.send(m.primary, LeaseRequest{ID: m.id, Seq: r.Seq, Version: r.Version, Checked: r.Checked, Refusal: r.Refusal, HeldRound: r.Held,
		Epoch: m.epoch, Name: r.Name, Zone: r.Zone})
}

const seekEvery = 200 * time.Millisecond

// seek asks one after the other of those with a disk who leads.
func (m *Machine) seek(now fsm.Time) {
	if now-m.sought < seekEvery {
		return
	}
	m.sought = now
	for range m.nodes {
		m.turns++
		if n := m.nodes[m.turns%len(m.nodes)]; n.Member && n.Addr != m.c.Self {
			m.send(n.Addr, consensus.ViewRequest{})
			return
		}
	}
}

// granted takes what the primary says.
func (m *Machine) granted(now fsm.Time, from string, g LeaseGrant) {
	if g.ID != m.id || !m.rollout.Together {
		return
	}
	m.pull(now, from, consensus.Doc{Version: g.Newest, Rev: g.Rev})
	if g.HoldRound != 0 {
		m.epoch = g.Epoch
	}
	p := g.grant()
	if g.Version == int64(m.adopted) {
		p.Text = m.side.Body
	}
	if w := m.holder.Grant(now, p); w.Check && m.bug == BugConfirmBeforeHeld {
		m.confirm(now, g.Change, "")
	}
	m.out.Gate = true
	m.ask(now)
}
