package rollout

import (
	"time"

	"asterwell/internal/consensus"
	"asterwell/internal/fsm"
	"asterwell/internal/policy"
)

// Gate decides whether a request may be decided by the configuration in force here.
type Gate struct {
	Version     uint32 // of the configuration in force
	Together    bool
	Reads       bool // applies to pure requests too
	Lease       policy.Lease
	ReopensSoon bool // a hold is in progress
}

// Allows reports whether a request may be decided. The time must have been read after the request arrived.
func (g Gate) Allows(now fsm.Time, version uint32) bool {
	return version == g.Version && (!g.Together || g.Lease.Version == int64(version) && now < g.Lease.Until)
}

// Gate returns the current gate.
func (m *Machine) Gate() Gate {
	l, holds := m.holder.Lease()
	return Gate{Version: m.adopted, Together: m.rollout.Together, Reads: m.rollout.Reads, Lease: l, ReopensSoon: holds}
}

// pullInterval is the interval in which a node asks for a document that the primary has and it lacks, and
// the time it first waits for the document to arrive unrequested; both are longer for large documents.
const pullInterval = 100 * time.Millisecond

// pull asks for the primary's document. A prepared one comes with the text of the live one, so it may take
// twice as long.
func (m *Machine) pull(now fsm.Time, from string, kept consensus.Doc) {
	if !kept.Supersedes(m.doc) {
		m.behindSince = 0
		return
	}
	if m.behindSince == 0 {
		m.behindSince = now
	}
	if wait := pullInterval + 2*consensus.TransferTime(len(m.doc.Body)); now-m.behindSince >= wait && now-m.pulledAt >= wait {
		m.pulledAt = now
		m.send(from, consensus.Pull{Version: kept.Version - 1}) // this version or higher, so the amended one too
	}
}

// confirmPrepared confirms or refuses the prepared version, once it is on disk and has been checked.
func (m *Machine) confirmPrepared(now fsm.Time) {
	if m.state.Fate != Prepared || !m.synced || !m.rollout.Together {
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
	m.requestLease(now)
}

// requestLease sends the lease request that is due.
func (m *Machine) requestLease(now fsm.Time) {
	if m.primary == "" {
		m.seekPrimary(now)
		return
	}
	renew := m.holder.Tick(now)
	if renew == nil {
		return
	}
	if m.holder.Missed() > 1 {
		m.seekPrimary(now)
	}
	m.send(m.primary, LeaseRequest{ID: m.incarnation, Seq: renew.Seq, Version: renew.Version, Checked: renew.Checked, Refusal: renew.Refusal, HeldRound: renew.Held,
		Epoch: m.holdEpoch, Name: renew.Name, Zone: renew.Zone})
}

const seekInterval = 200 * time.Millisecond

// seekPrimary asks the nodes with a disk, one after the other, which process is the primary.
func (m *Machine) seekPrimary(now fsm.Time) {
	if now-m.soughtAt < seekInterval {
		return
	}
	m.soughtAt = now
	for range m.nodes {
		m.seekIndex++
		if n := m.nodes[m.seekIndex%len(m.nodes)]; n.Member && n.Addr != m.config.Self {
			m.send(n.Addr, consensus.ViewRequest{})
			return
		}
	}
}

// handleGrant handles a message of the primary.
func (m *Machine) handleGrant(now fsm.Time, from string, grant LeaseGrant) {
	if grant.ID != m.incarnation || !m.rollout.Together {
		return
	}
	m.pull(now, from, consensus.Doc{Version: grant.Newest, Rev: grant.Rev})
	if grant.HoldRound != 0 {
		m.holdEpoch = grant.Epoch
	}
	policyGrant := grant.policyGrant()
	if grant.Version == int64(m.adopted) {
		policyGrant.Text = m.state.Body
	}
	if result := m.holder.Grant(now, policyGrant); result.Check && m.bug == BugConfirmBeforeHeld {
		m.confirm(now, grant.Change, "")
	}
	m.out.Gate = true
	m.requestLease(now)
}
