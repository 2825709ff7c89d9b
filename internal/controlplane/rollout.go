package controlplane

import (
	"asterwell/internal/consensus"
	"asterwell/internal/fsm"
	"asterwell/internal/rollout"
)

// feedRollout passes the progress of consensus on to the rollout.
func (m *Machine) feedRollout(now fsm.Time, out consensus.Out) {
	m.rollout.SetPrimary(m.consensus.Primary())
	epoch, leading := m.consensus.Leading()
	if !leading {
		m.applyRollout(now, m.rollout.SetLead(now, epoch, false))
	}
	if out.Apply != nil {
		if m.prepareWrite = 0; out.Write != nil { // a configuration isn't confirmed before it is on disk
			m.prepareWrite = out.Write.Seq
		}
		m.applyRollout(now, m.rollout.SetDocument(now, *out.Apply, out.Write == nil))
	}
	if leading {
		m.applyRollout(now, m.rollout.SetLead(now, epoch, true))
		if out.ConfirmedRound != 0 {
			m.applyRollout(now, m.rollout.LeadConfirmed(now, out.ConfirmedRound))
		}
	}
}

// applyRollout carries out the output of the rollout.
func (m *Machine) applyRollout(now fsm.Time, out rollout.Out) {
	m.send(out.Send)
	m.out.GateChanged = m.out.GateChanged || out.Gate
	for _, reply := range out.WithdrawReplies {
		m.out.Replies = append(m.out.Replies, Reply{reply.Call, reply})
	}
	if out.Adopt != nil {
		m.adopt(now, out.Adopt)
	}
	if out.Read != nil {
		m.parser.adopt = &ConfigText{Doc: *out.Read}
	}
	if out.Check != nil {
		m.parser.check = &ConfigText{Doc: *out.Check, checkOnly: true, checkConfig: m.checkConfig}
	}
	m.startParse()
	if out.Amend != nil {
		ok, result := m.consensus.Amend(now, *out.Amend)
		m.applyConsensus(now, result)
		if !ok {
			m.applyRollout(now, m.rollout.AmendmentRejected(now, *out.Amend))
		}
	}
	if out.ConfirmLead {
		round, result := m.consensus.ConfirmLeadership(now)
		m.rollout.ConfirmationStarted(round)
		m.applyConsensus(now, result)
	}
}

// Gate returns the gate that decides which requests may be served.
func (m *Machine) Gate() rollout.Gate { return m.rollout.Gate() }

// RolloutStatus returns the state of the rollout.
func (m *Machine) RolloutStatus(now fsm.Time) rollout.Status { return m.rollout.Status(now) }

// Withdraw requests that a version which isn't live yet never becomes live.
func (m *Machine) Withdraw(now fsm.Time, call uint64, version uint32, by string) Output {
	m.applyRollout(now, m.rollout.Withdraw(now, call, version, by))
	return m.takeOutput()
}

// RolloutMachine gives tests access to the rollout, to disable its safeguards.
func (m *Machine) RolloutMachine() *rollout.Machine { return m.rollout }
