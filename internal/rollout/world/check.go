package world

import (
	"time"

	"asterwell/internal/consensus"
	"asterwell/internal/rollout"
	"asterwell/internal/sysconfig"
)

// receivedReport is what a node has last said to a primary.
type receivedReport struct {
	incarnation int
	id, seq     uint64
	change      uint64
	refused     bool
	receivedAt  time.Duration
}

// processedReport is a node's word as a primary has taken it, which may be long after it came.
type processedReport struct {
	change  uint64
	refused bool
	sentAt  time.Duration
}

// withdrawOrder is an operator's call to withdraw a version.
type withdrawOrder struct {
	version uint32
	kept    bool // kept by somebody when the call was made
}

// checkAcknowledged notes that an operator was told that a version is kept, or not above what is.
func (w *World) checkAcknowledged(p *Process, version uint32) {
	w.trace("%s: %d is kept", p.name, version)
	w.result.Acknowledged = append(w.result.Acknowledged, Acknowledgement{w.now, p.name, version})
	if _, known := w.fates[version]; !known && w.newestVersion() < version {
		w.violate("LOST", "%d is acknowledged at %s, nobody keeps it", version, p.name)
	}
}

// checkDecision judges a request that was taken up.
func (w *World) checkDecision(p *Process, version uint32) {
	w.result.Decided++
	switch {
	case version < w.newestDecided:
		w.violate("MIXED", "%s takes a request up by %d, one was by %d", p.name, version, w.newestDecided)
	case version > w.newestDecided:
		w.trace("%s is the first to go by %d", p.name, version)
		if w.toldNever[version] {
			w.violate("TOLD", "%d is live, its operator was told that it never would be", version)
		}
		w.newestDecided, w.firstDecided[version] = version, w.now
	}
	if w.fates[version] == rollout.Withdrawn {
		w.violate("DEAD", "%s takes a request up by %d, which is withdrawn", p.name, version)
	}
	w.result.Decisions = append(w.result.Decisions, Decision{w.now, version, p.name})
}

// checkWithdrawReply holds an operator's answer against what is so.
func (w *World) checkWithdrawReply(p *Process, wish withdrawOrder, o rollout.Outcome) {
	version := wish.version
	w.trace("%s: %d is %v", p.name, version, o)
	switch {
	case o == rollout.OutcomeAbsent && wish.kept:
		w.violate("TOLD", "%d was kept, its operator was told: %v", version, o)
	case o != rollout.OutcomeWithdrawn && w.toldWithdrawn[version]:
		w.violate("AGAIN", "%d was withdrawn, the same wish again was told: %v", version, o)
	}
	w.toldWithdrawn[version] = w.toldWithdrawn[version] || o == rollout.OutcomeWithdrawn
	w.result.WithdrawReplies = append(w.result.WithdrawReplies, WithdrawReply{w.now, p.name, version, o})
	switch is, known := w.fates[version]; {
	case o == rollout.OutcomeLive && (is != rollout.Live || !known), o == rollout.OutcomeWithdrawn && is != rollout.Withdrawn,
		o == rollout.OutcomeOvertaken && w.newestVersion() <= version:
		w.violate("TOLD", "%d is %v, its operator was told: %v", version, is, o)
	case (o == rollout.OutcomeWithdrawn || o == rollout.OutcomeOvertaken) && w.firstDecided[version] == 0 && (is != rollout.Live || !known):
		w.toldNever[version] = true
	}
}

// noteServing notes when all that live can go by a version.
func (w *World) noteServing(p *Process, version uint32) {
	if w.result.ServedByAll[version] != 0 {
		return
	}
	if w.serving[version] == nil {
		w.serving[version] = map[*Process]bool{}
	}
	w.serving[version][p] = true
	for _, n := range w.nodes {
		if n.up && !w.serving[version][n] {
			return
		}
	}
	w.result.ServedByAll[version] = w.now - w.putAt[version]
}

// checkFate judges what a process holds for a version's fate: it comes once.
func (w *World) checkFate(p *Process, version uint32, fate rollout.Fate) {
	was, known := w.fates[version]
	if known && was != rollout.Prepared && fate != was && fate != rollout.Prepared {
		w.violate("SPLIT", "%s has %d as %v, it was %v", p.name, version, fate, was)
	}
	if !known || was == rollout.Prepared {
		w.fates[version] = fate
		if fate == rollout.Withdrawn && w.newestDecided >= version && w.firstDecided[version] != 0 {
			w.violate("DEAD", "%d is withdrawn, and requests went by it", version)
		}
	}
}

// checkMessage judges messages as they go out: who confirms must hold it, and a turn needs
// enough that have confirmed.
func (w *World) checkMessage(p, to *Process, msg any) {
	switch t := msg.(type) {
	case rollout.LeaseRequest:
		if t.Checked == 0 || t.Refusal != "" {
			return
		}
		if v := p.control.Pact().Version; uint64(v) < t.Checked {
			w.violate("HELD", "%s confirms %d and holds %d", p.name, t.Checked, v)
		} else if p.core && uint64(versionOnDisk(p.disk)) < t.Checked {
			w.violate("HELD", "%s confirms %d and has %d on disk", p.name, t.Checked, versionOnDisk(p.disk))
		}
	case consensus.Append:
		if t.Doc.Rev > 0 && len(t.Doc.Side) == 0 {
			w.checkConfirmations(p, t.Doc)
		}
	}
}

// noteReceived notes a node's word that reaches a process.
func (w *World) noteReceived(from string, to *Process, msg any) {
	if a, ok := msg.(rollout.LeaseRequest); ok && !to.frozen() {
		p := w.byAddr[from]
		if x := w.reports[p.name]; x.id == a.ID && x.seq > a.Seq {
			return // overtaken on the way
		}
		w.reports[p.name] = receivedReport{p.incarnation, a.ID, a.Seq, a.Checked, a.Refusal != "", w.now}
	}
}

// noteProcessed notes a node's word that a process takes up now.
func (w *World) noteProcessed(from string, to *Process, msg any, sent time.Duration) {
	if a, ok := msg.(rollout.LeaseRequest); ok {
		name := w.byAddr[from].name
		if x := to.reports[name]; x.sentAt <= sent {
			to.reports[name] = processedReport{a.Checked, a.Refusal != "", sent}
		}
	}
}

// confirmationMaxAge is how old a word may be that a turn counts on: it was said in the hold before it.
var confirmationMaxAge = rollout.Terms.HoldWithin + 10*ms

// recentConfirmations counts those whose word a primary has taken that they had said just now.
func (w *World) recentConfirmations(p *Process, version uint32) (n int) {
	for _, x := range p.reports {
		if x.change == uint64(version) && !x.refused && w.now-x.sentAt <= confirmationMaxAge {
			n++
		}
	}
	return n
}

func (w *World) checkConfirmations(p *Process, d consensus.Doc) {
	if w.judged[d.Version] != 0 || w.fates[d.Version] == rollout.Live { // judged at its first proposal
		return
	}
	w.judged[d.Version] = 1
	held, zones := 1, map[string][2]int{} // it itself
	zones[p.zone] = [2]int{1, 1}
	for _, n := range w.nodes {
		if n == p {
			continue
		}
		z := zones[n.zone]
		if n.up && !n.frozen() && !w.blocked[[2]string{n.addr, p.addr}] {
			z[0]++
		}
		if x := w.reports[n.name]; x.change == uint64(d.Version) && !x.refused {
			held++
			z[1]++
		}
		zones[n.zone] = z
	}
	need := sysconfig.RolloutOf(w.liveText(p)).Confirm
	if held < need {
		w.violate("FEW", "%d is to be live, %d have confirmed it, %d must have", d.Version, held, need)
	}
	if n := w.recentConfirmations(p, d.Version); n < need {
		w.violate("FEW", "%d is to be live, %d have said within %v that they hold it, %d must have", d.Version, n, confirmationMaxAge, need)
	}
}

// liveText is the text in force at a process.
func (w *World) liveText(p *Process) []byte { return p.control.Accord().LiveText() }

func versionOnDisk(disk []byte) uint32 {
	if disk == nil {
		return 0
	}
	return diskVersion(disk)
}
