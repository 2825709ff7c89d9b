package world

import (
	"time"

	"asterwell/internal/consensus"
	"asterwell/internal/rollout"
	"asterwell/internal/sysconfig"
)

// word is what a node has last said to a primary.
type word struct {
	life    int
	id, seq uint64
	change  uint64
	refused bool
	at      time.Duration
}

// said is a node's word as a primary has taken it, which may be long after it came.
type said struct {
	change  uint64
	refused bool
	sent    time.Duration
}

// wished is an operator's call to withdraw a version.
type wished struct {
	version uint32
	known   bool // kept by somebody when the call was made
}

// acked notes that an operator was told that a version is kept, or not above what is.
func (w *World) acked(p *Process, version uint32) {
	w.note("%s: %d is kept", p.name, version)
	w.res.Acknowledged = append(w.res.Acknowledged, Acknowledgement{w.now, p.name, version})
	if _, known := w.fates[version]; !known && w.maxFate() < version {
		w.breaks("LOST", "%d is acknowledged at %s, nobody keeps it", version, p.name)
	}
}

// decided judges a request that was taken up.
func (w *World) decided(p *Process, version uint32) {
	w.res.Decided++
	switch {
	case version < w.newest:
		w.breaks("MIXED", "%s takes a request up by %d, one was by %d", p.name, version, w.newest)
	case version > w.newest:
		w.note("%s is the first to go by %d", p.name, version)
		if w.never[version] {
			w.breaks("TOLD", "%d is live, its operator was told that it never would be", version)
		}
		w.newest, w.first[version] = version, w.now
	}
	if w.fates[version] == rollout.Withdrawn {
		w.breaks("DEAD", "%s takes a request up by %d, which is withdrawn", p.name, version)
	}
	w.res.Decisions = append(w.res.Decisions, Decision{w.now, version, p.name})
}

// told holds an operator's answer against what is so.
func (w *World) told(p *Process, wish wished, o rollout.Outcome) {
	version := wish.version
	w.note("%s: %d is %v", p.name, version, o)
	switch {
	case o == rollout.OutcomeAbsent && wish.known:
		w.breaks("TOLD", "%d was kept, its operator was told: %v", version, o)
	case o != rollout.OutcomeWithdrawn && w.back[version]:
		w.breaks("AGAIN", "%d was withdrawn, the same wish again was told: %v", version, o)
	}
	w.back[version] = w.back[version] || o == rollout.OutcomeWithdrawn
	w.res.WithdrawReplies = append(w.res.WithdrawReplies, WithdrawReply{w.now, p.name, version, o})
	switch is, known := w.fates[version]; {
	case o == rollout.OutcomeLive && (is != rollout.Live || !known), o == rollout.OutcomeWithdrawn && is != rollout.Withdrawn,
		o == rollout.OutcomeOvertaken && w.maxFate() <= version:
		w.breaks("TOLD", "%d is %v, its operator was told: %v", version, is, o)
	case (o == rollout.OutcomeWithdrawn || o == rollout.OutcomeOvertaken) && w.first[version] == 0 && (is != rollout.Live || !known):
		w.never[version] = true
	}
}

// serves notes when all that live can go by a version.
func (w *World) serves(p *Process, version uint32) {
	if w.res.ServedByAll[version] != 0 {
		return
	}
	if w.open[version] == nil {
		w.open[version] = map[*Process]bool{}
	}
	w.open[version][p] = true
	for _, n := range w.nodes {
		if n.up && !w.open[version][n] {
			return
		}
	}
	w.res.ServedByAll[version] = w.now - w.puts[version]
}

// fate judges what a process holds for a version's fate: it comes once.
func (w *World) fate(p *Process, version uint32, fate rollout.Fate) {
	was, known := w.fates[version]
	if known && was != rollout.Prepared && fate != was && fate != rollout.Prepared {
		w.breaks("SPLIT", "%s has %d as %v, it was %v", p.name, version, fate, was)
	}
	if !known || was == rollout.Prepared {
		w.fates[version] = fate
		if fate == rollout.Withdrawn && w.newest >= version && w.first[version] != 0 {
			w.breaks("DEAD", "%d is withdrawn, and requests went by it", version)
		}
	}
}

// watch judges messages as they go out: who confirms must hold it, and a turn needs
// enough that have confirmed.
func (w *World) watch(p, to *Process, msg any) {
	switch t := msg.(type) {
	case rollout.LeaseRequest:
		if t.Checked == 0 || t.Refusal != "" {
			return
		}
		if v := p.k.ConsensusStatus().Version; uint64(v) < t.Checked {
			w.breaks("HELD", "%s confirms %d and holds %d", p.name, t.Checked, v)
		} else if p.core && uint64(kept(p.disk)) < t.Checked {
			w.breaks("HELD", "%s confirms %d and has %d on disk", p.name, t.Checked, kept(p.disk))
		}
	case consensus.Append:
		if t.Doc.Rev > 0 && len(t.Doc.Attachment) == 0 {
			w.enough(p, t.Doc)
		}
	}
}

// came notes a node's word that reaches a process.
func (w *World) came(from string, to *Process, msg any) {
	if a, ok := msg.(rollout.LeaseRequest); ok && !to.frozen() {
		p := w.byAddr[from]
		if x := w.words[p.name]; x.id == a.ID && x.seq > a.Seq {
			return // overtaken on the way
		}
		w.words[p.name] = word{p.life, a.ID, a.Seq, a.Checked, a.Refusal != "", w.now}
	}
}

// takes notes a node's word that a process takes up now.
func (w *World) takes(from string, to *Process, msg any, sent time.Duration) {
	if a, ok := msg.(rollout.LeaseRequest); ok {
		name := w.byAddr[from].name
		if x := to.heard[name]; x.sent <= sent {
			to.heard[name] = said{a.Checked, a.Refusal != "", sent}
		}
	}
}

// freshFor is how old a word may be that a turn counts on: it was said in the hold before it.
var freshFor = rollout.Terms.HoldWithin + 10*ms

// fresh counts those whose word a primary has taken that they had said just now.
func (w *World) fresh(p *Process, version uint32) (n int) {
	for _, x := range p.heard {
		if x.change == uint64(version) && !x.refused && w.now-x.sent <= freshFor {
			n++
		}
	}
	return n
}

func (w *World) enough(p *Process, d consensus.Doc) {
	if w.confirm[d.Version] != 0 || w.fates[d.Version] == rollout.Live { // judged at its first proposal
		return
	}
	w.confirm[d.Version] = 1
	held, zones := 1, map[string][2]int{} // it itself
	zones[p.zone] = [2]int{1, 1}
	for _, n := range w.nodes {
		if n == p {
			continue
		}
		z := zones[n.zone]
		if n.up && !n.frozen() && !w.cuts[[2]string{n.addr, p.addr}] {
			z[0]++
		}
		if x := w.words[n.name]; x.change == uint64(d.Version) && !x.refused {
			held++
			z[1]++
		}
		zones[n.zone] = z
	}
	need := sysconfig.RolloutOf(w.live(p)).Confirm
	if held < need {
		w.breaks("FEW", "%d is to be live, %d have confirmed it, %d must have", d.Version, held, need)
	}
	if n := w.fresh(p, d.Version); n < need {
		w.breaks("FEW", "%d is to be live, %d have said within %v that they hold it, %d must have", d.Version, n, freshFor, need)
	}
}

// live is the text in force at a process.
func (w *World) live(p *Process) []byte { return p.k.RolloutMachine().LiveText() }

func kept(disk []byte) uint32 {
	if disk == nil {
		return 0
	}
	return diskVersion(disk)
}
