package systemsim

import (
	"slices"

	"asterwell/internal/consensus"
	"asterwell/internal/controlplane"
	"asterwell/internal/drainpermit"
	"asterwell/internal/faultrules"
	"asterwell/internal/quotas"
	"asterwell/internal/registry"
)

// Bug is a fault put into every process, to show that the rules find it.
type Bug uint8

// The bugs.
const (
	Sound      Bug = iota
	Early          // a disk says that it has synced before it has
	Mute           // nobody tells others that a server is leaving
	Twice          // what a restarted gateway adds is counted twice
	Keeps          // who leaves keeps its seat to its end
	OldDisk        // a disk that was put back counts as the newer one
	Deaf           // who has missed a document doesn't ask for it
	Unread         // reads of the configuration are answered without asking the writers
	Unvouched      // a leaving server is let go whoever has heard of it
	Straight       // news of it never goes round a cut
	Unmet          // ready without contact since the start
	Unasked        // calls on fault rules that change nothing are answered from memory
	Unfenced       // a call on fault rules that was held up changes what has come since
	Whole          // large documents are not packed
	Confirms       // another text under a number is acknowledged
	Forgets        // a takeover forgets which orders were accepted
	Numberless     // a stop of fault rules ends whatever set is there
	Uncalled       // a gateway drains without another one's word that it stays
	Outdated       // such a word counts for any ask
	Unheard        // a newcomer has a seat before it has said that it is there
	Remnant        // who is ended soon while another one is missing keeps its seat
)

var bugNames = [...]string{"sound", "early", "mute", "twice", "keeps", "olddisk", "deaf", "unread", "unvouched", "straight", "unmet",
	"unasked", "unfenced", "whole", "confirms", "forgets",
	"numberless", "uncalled", "outdated", "unheard", "remnant"}

// guards are those that are off in the machines.
func (b Bug) guards() controlplane.Bugs {
	switch b {
	case OldDisk:
		return controlplane.Bugs{Consensus: consensus.BugNoFencing}
	case Deaf:
		return controlplane.Bugs{Consensus: consensus.BugNoCatchUp}
	case Unheard:
		return controlplane.Bugs{Consensus: consensus.BugSkipLearner}
	case Remnant:
		return controlplane.Bugs{Consensus: consensus.BugNoShrinkOnForcedLeave}
	case Whole:
		return controlplane.Bugs{Consensus: consensus.BugNoPacking}
	case Unread:
		return controlplane.Bugs{Consensus: consensus.BugUnconfirmed}
	case Unvouched:
		return controlplane.Bugs{Registry: registry.BugNoQuorumConfirmation}
	case Straight:
		return controlplane.Bugs{Registry: registry.BugNoIndirectDelivery}
	case Unmet:
		return controlplane.Bugs{ReadyWithoutContact: true}
	case Unasked:
		return controlplane.Bugs{FaultRules: faultrules.Unconfirmed}
	case Numberless:
		return controlplane.Bugs{FaultRules: faultrules.IgnoresStopVersion}
	case Uncalled:
		return controlplane.Bugs{Drain: drainpermit.BugNoPermission}
	case Outdated:
		return controlplane.Bugs{Drain: drainpermit.BugStalePermission}
	case Unfenced:
		return controlplane.Bugs{FaultRules: faultrules.Unfenced}
	}
	return controlplane.Bugs{}
}

func (b Bug) String() string { return bugNames[b] }

// send is what becomes of a message that a process sends.
func (b Bug) send(p *proc, msg any) []any {
	switch t := msg.(type) {
	case consensus.Leave, consensus.Handover:
		if b == Keeps {
			return nil
		}
	case quotas.Add:
		if b == Twice && p.life > 1 {
			again, _ := t.Expand(^t.Incarnation)
			again.Incarnation, again.Read, again.Ping = ^t.Incarnation, false, false
			return []any{again, msg}
		}
	case consensus.ForwardReply:
		if b == Confirms && t.Result == consensus.ResultConflict {
			t.Result = consensus.ResultAccepted
		}
		return []any{t}
	case consensus.InstallState:
		if b == Forgets {
			t.Committed, t.Pending = t.Committed.ResetLedger(), t.Pending.ResetLedger()
		}
		return []any{t}
	case consensus.Promise:
		if b == Forgets {
			t.Committed, t.Pending = t.Committed.ResetLedger(), t.Pending.ResetLedger()
		}
		return []any{t}
	case registry.Update:
		t.Rows = b.rows(t.Rows)
		return []any{t}
	case registry.Diff:
		t.Rows = b.rows(t.Rows)
		return []any{t}
	case registry.FullTable:
		t.Rows = b.rows(t.Rows)
		return []any{t}
	}
	return []any{msg}
}

func (b Bug) rows(rows []registry.Row) []registry.Row {
	if b != Mute {
		return rows
	}
	return slices.DeleteFunc(slices.Clone(rows), func(r registry.Row) bool { return r.Phase == registry.Quiescing })
}
