package controlplane

import (
	"asterwell/internal/consensus"
	"asterwell/internal/fsm"
	"asterwell/internal/rollout"
)

// roll tells the taking up of configurations what agreement has come to.
func (k *Machine) roll(now fsm.Time, out consensus.Out) {
	k.accord.Primary(k.pact.Primary())
	epoch, leads := k.pact.Leads()
	if !leads {
		k.together(now, k.accord.Leads(now, epoch, false))
	}
	if out.Adopt != nil {
		if k.prepare = 0; out.Write != nil { // nothing is confirmed before it is on disk
			k.prepare = out.Write.Seq
		}
		k.together(now, k.accord.Doc(now, *out.Adopt, out.Write == nil))
	}
	if leads {
		k.together(now, k.accord.Leads(now, epoch, true))
		if out.Affirmed != 0 {
			k.together(now, k.accord.Affirmed(now, out.Affirmed))
		}
	}
}

// together carries out what the taking up wants.
func (k *Machine) together(now fsm.Time, out rollout.Out) {
	k.send(out.Send)
	k.out.GateChanged = k.out.GateChanged || out.Gate
	for _, t := range out.Told {
		k.out.Replies = append(k.out.Replies, Reply{t.Call, t})
	}
	if out.Adopt != nil {
		k.adopt(now, out.Adopt)
	}
	if out.Read != nil {
		k.reader.adopt = &ConfigText{Doc: *out.Read}
	}
	if out.Check != nil {
		k.reader.check = &ConfigText{Doc: *out.Check, check: true, judge: k.judge}
	}
	k.read()
	if out.Amend != nil {
		ok, then := k.pact.Amend(now, *out.Amend)
		k.agreed(now, then)
		if !ok {
			k.together(now, k.accord.Dropped(now, *out.Amend))
		}
	}
	if out.Affirm {
		round, then := k.pact.Affirm(now)
		k.accord.Affirming(round)
		k.agreed(now, then)
	}
}

// Gate is by what a request may be decided here.
func (k *Machine) Gate() rollout.Gate { return k.accord.Gate() }

// Rollout tells how the taking up stands.
func (k *Machine) RolloutStatus(now fsm.Time) rollout.Status { return k.accord.Status(now) }

// Withdraw asks that a version which is not live yet never be.
func (k *Machine) Withdraw(now fsm.Time, call uint64, version uint32, by string) Output {
	k.together(now, k.accord.Withdraw(now, call, version, by))
	return k.end()
}

// Accord is the machine itself, for tests that switch its guards off.
func (k *Machine) RolloutMachine() *rollout.Machine { return k.accord }
