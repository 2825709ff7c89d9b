package controlplane

import (
	"asterwell/internal/consensus"
	"asterwell/internal/fsm"
	"asterwell/internal/rollout"
)

// roll tells the taking up of configurations what agreement has come to.
func (k *Knot) roll(now fsm.Time, out consensus.Out) {
	k.accord.SetPrimary(k.pact.Primary())
	epoch, leads := k.pact.Leads()
	if !leads {
		k.together(now, k.accord.SetLead(now, epoch, false))
	}
	if out.Adopt != nil {
		if k.prepare = 0; out.Write != nil { // nothing is confirmed before it is on disk
			k.prepare = out.Write.Seq
		}
		k.together(now, k.accord.SetDocument(now, *out.Adopt, out.Write == nil))
	}
	if leads {
		k.together(now, k.accord.SetLead(now, epoch, true))
		if out.Affirmed != 0 {
			k.together(now, k.accord.LeadConfirmed(now, out.Affirmed))
		}
	}
}

// together carries out what the taking up wants.
func (k *Knot) together(now fsm.Time, out rollout.Out) {
	k.send(out.Send)
	k.out.Gate = k.out.Gate || out.Gate
	for _, t := range out.WithdrawReplies {
		k.out.Replies = append(k.out.Replies, Reply{t.Call, t})
	}
	if out.Adopt != nil {
		k.adopt(now, out.Adopt)
	}
	if out.Read != nil {
		k.reader.adopt = &Text{Doc: *out.Read}
	}
	if out.Check != nil {
		k.reader.check = &Text{Doc: *out.Check, check: true, judge: k.judge}
	}
	k.read()
	if out.Amend != nil {
		ok, then := k.pact.Amend(now, *out.Amend)
		k.agreed(now, then)
		if !ok {
			k.together(now, k.accord.AmendmentRejected(now, *out.Amend))
		}
	}
	if out.ConfirmLead {
		round, then := k.pact.Affirm(now)
		k.accord.ConfirmationStarted(round)
		k.agreed(now, then)
	}
}

// Gate is by what a request may be decided here.
func (k *Knot) Gate() rollout.Gate { return k.accord.Gate() }

// Rollout tells how the taking up stands.
func (k *Knot) Rollout(now fsm.Time) rollout.Status { return k.accord.Status(now) }

// Withdraw asks that a version which is not live yet never be.
func (k *Knot) Withdraw(now fsm.Time, call uint64, version uint32, by string) Out {
	k.together(now, k.accord.Withdraw(now, call, version, by))
	return k.end()
}

// Accord is the machine itself, for tests that switch its guards off.
func (k *Knot) Accord() *rollout.Machine { return k.accord }
