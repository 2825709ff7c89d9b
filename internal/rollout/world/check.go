package world

import (
	"time"

	"asterwell/internal/consensus"
	"asterwell/internal/rollout"
	"asterwell/internal/sysconfig"
)

// receivedReport is the newest report of a node that has reached a primary.
type receivedReport struct {
	incarnation int
	id, seq     uint64
	version     uint64
	refused     bool
	receivedAt  time.Duration
}

// processedReport is a node's report that a primary has processed, maybe long after it was received.
type processedReport struct {
	version uint64
	refused bool
	sentAt  time.Duration
}

// withdrawOrder is an operator's call to withdraw a version.
type withdrawOrder struct {
	version uint32
	kept    bool // some process kept the version when the call was made
}

// checkAcknowledged checks the acknowledgement of a put: the version is kept, or a higher one is.
func (w *World) checkAcknowledged(p *Process, version uint32) {
	w.trace("%s: %d is kept", p.name, version)
	w.result.Acknowledged = append(w.result.Acknowledged, Acknowledgement{w.now, p.name, version})
	if _, known := w.fates[version]; !known && w.newestVersion() < version {
		w.violate("LOST", "%d is acknowledged at %s, no process keeps it", version, p.name)
	}
}

// checkDecision checks a decided request.
func (w *World) checkDecision(p *Process, version uint32) {
	w.result.Decided++
	switch {
	case version < w.newestDecided:
		w.violate("MIXED", "%s decides a request by %d, one was decided by %d", p.name, version, w.newestDecided)
	case version > w.newestDecided:
		w.trace("%s is the first to decide by %d", p.name, version)
		if w.toldNever[version] {
			w.violate("TOLD", "%d is live, its operator was told that it never would be live", version)
		}
		w.newestDecided, w.firstDecided[version] = version, w.now
	}
	if w.fates[version] == rollout.Withdrawn {
		w.violate("DEAD", "%s decides a request by %d, which is withdrawn", p.name, version)
	}
	w.result.Decisions = append(w.result.Decisions, Decision{w.now, version, p.name})
}

// checkWithdrawReply compares a reply to an operator with the facts.
func (w *World) checkWithdrawReply(p *Process, order withdrawOrder, outcome rollout.Outcome) {
	version := order.version
	w.trace("%s: %d is %v", p.name, version, outcome)
	switch {
	case outcome == rollout.OutcomeAbsent && order.kept:
		w.violate("TOLD", "%d was kept, its operator was told: %v", version, outcome)
	case outcome != rollout.OutcomeWithdrawn && w.toldWithdrawn[version]:
		w.violate("AGAIN", "%d was withdrawn, the repeated call was told: %v", version, outcome)
	}
	w.toldWithdrawn[version] = w.toldWithdrawn[version] || outcome == rollout.OutcomeWithdrawn
	w.result.WithdrawReplies = append(w.result.WithdrawReplies, WithdrawReply{w.now, p.name, version, outcome})
	switch fate, known := w.fates[version]; {
	case outcome == rollout.OutcomeLive && (fate != rollout.Live || !known), outcome == rollout.OutcomeWithdrawn && fate != rollout.Withdrawn,
		outcome == rollout.OutcomeOvertaken && w.newestVersion() <= version:
		w.violate("TOLD", "%d is %v, its operator was told: %v", version, fate, outcome)
	case (outcome == rollout.OutcomeWithdrawn || outcome == rollout.OutcomeOvertaken) && w.firstDecided[version] == 0 && (fate != rollout.Live || !known):
		w.toldNever[version] = true
	}
}

// noteServing records when all live processes can decide by a version.
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

// checkFate checks a process's view of a version's fate: it is final once known.
func (w *World) checkFate(p *Process, version uint32, fate rollout.Fate) {
	previous, known := w.fates[version]
	if known && previous != rollout.Prepared && fate != previous && fate != rollout.Prepared {
		w.violate("SPLIT", "%s has %d as %v, it was %v", p.name, version, fate, previous)
	}
	if !known || previous == rollout.Prepared {
		w.fates[version] = fate
		if fate == rollout.Withdrawn && w.newestDecided >= version && w.firstDecided[version] != 0 {
			w.violate("DEAD", "%d is withdrawn, and requests were decided by it", version)
		}
	}
}

// checkMessage checks outgoing messages: a node that confirms a version must hold it, and a version becomes
// live only after enough confirmations.
func (w *World) checkMessage(p, to *Process, msg any) {
	switch t := msg.(type) {
	case rollout.LeaseRequest:
		if t.Checked == 0 || t.Refusal != "" {
			return
		}
		if v := p.control.ConsensusStatus().Version; uint64(v) < t.Checked {
			w.violate("HELD", "%s confirms %d and holds %d", p.name, t.Checked, v)
		} else if p.core && uint64(versionOnDisk(p.disk)) < t.Checked {
			w.violate("HELD", "%s confirms %d and has %d on disk", p.name, t.Checked, versionOnDisk(p.disk))
		}
	case consensus.Append:
		if t.Doc.Rev > 0 && len(t.Doc.Attachment) == 0 {
			w.checkConfirmations(p, t.Doc)
		}
	}
}

// noteReceived records a node's report when it reaches a process.
func (w *World) noteReceived(from string, to *Process, msg any) {
	if a, ok := msg.(rollout.LeaseRequest); ok && !to.frozen() {
		p := w.byAddr[from]
		if last := w.reports[p.name]; last.id == a.ID && last.seq > a.Seq {
			return // reordered by the network
		}
		w.reports[p.name] = receivedReport{p.incarnation, a.ID, a.Seq, a.Checked, a.Refusal != "", w.now}
	}
}

// noteProcessed records a node's report when a process handles it.
func (w *World) noteProcessed(from string, to *Process, msg any, sent time.Duration) {
	if a, ok := msg.(rollout.LeaseRequest); ok {
		name := w.byAddr[from].name
		if last := to.reports[name]; last.sentAt <= sent {
			to.reports[name] = processedReport{a.Checked, a.Refusal != "", sent}
		}
	}
}

// confirmationMaxAge is the highest age of a confirmation that makes a version live: it must be from the
// hold before.
var confirmationMaxAge = rollout.Terms.HoldWithin + 10*ms

// recentConfirmations counts the nodes with a recent confirmation that the primary has processed.
func (w *World) recentConfirmations(p *Process, version uint32) (n int) {
	for _, report := range p.reports {
		if report.version == uint64(version) && !report.refused && w.now-report.sentAt <= confirmationMaxAge {
			n++
		}
	}
	return n
}

func (w *World) checkConfirmations(p *Process, d consensus.Doc) {
	if w.confirmationsChecked[d.Version] != 0 || w.fates[d.Version] == rollout.Live { // checked at its first proposal
		return
	}
	w.confirmationsChecked[d.Version] = 1
	confirmed, zones := 1, map[string][2]int{} // the primary itself
	zones[p.zone] = [2]int{1, 1}
	for _, n := range w.nodes {
		if n == p {
			continue
		}
		z := zones[n.zone]
		if n.up && !n.frozen() && !w.blocked[[2]string{n.addr, p.addr}] {
			z[0]++
		}
		if report := w.reports[n.name]; report.version == uint64(d.Version) && !report.refused {
			confirmed++
			z[1]++
		}
		zones[n.zone] = z
	}
	required := sysconfig.RolloutOf(w.liveText(p)).Confirm
	if confirmed < required {
		w.violate("FEW", "%d is to become live, %d nodes have confirmed it, %d are required", d.Version, confirmed, required)
	}
	if n := w.recentConfirmations(p, d.Version); n < required {
		w.violate("FEW", "%d is to become live, %d nodes have confirmed it within %v, %d are required", d.Version, n, confirmationMaxAge, required)
	}
}

// liveText is the text in force at a process.
func (w *World) liveText(p *Process) []byte { return p.control.RolloutMachine().LiveText() }

func versionOnDisk(disk []byte) uint32 {
	if disk == nil {
		return 0
	}
	return diskVersion(disk)
}
