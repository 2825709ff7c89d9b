package consensus

import (
	"cmp"
	"slices"
	"time"

	"asterwell/internal/fsm"
)

// near are the processes that may be members, or know them.
func (m *Machine) likelyMembers() []string {
	var who []string
	for _, s := range m.view.Members {
		who = append(who, s.Addr)
	}
	for _, p := range m.peers {
		if p.Up && p.Member {
			who = append(who, p.Addr)
		}
	}
	return m.withoutSelf(append(who, m.seeds...))
}

// everyone are the processes that a primary tells news.
func (m *Machine) knownProcesses() []string {
	who := m.likelyMembers()
	for _, p := range m.peers {
		if p.Up {
			who = append(who, p.Addr)
		}
	}
	return m.withoutSelf(who)
}

func (m *Machine) withoutSelf(who []string) []string {
	slices.Sort(who)
	who = slices.Compact(who)
	return slices.DeleteFunc(who, func(a string) bool { return a == m.config.Self || a == "" })
}

func (m *Machine) sendView(to string) {
	if !m.view.isZero() {
		m.send(to, View{Record: m.view, Version: m.state.Committed.Version, Leading: m.primary != nil, ReadsPacked: true})
	}
}

// commit takes a document that is committed for certain. One that is not is never
// adopted: it may be lost, and another one take its version.
func (m *Machine) commit(doc Doc) {
	if doc.sameAs(m.state.Pending) {
		doc = m.state.Pending // with its orders
	}
	if !doc.Supersedes(m.state.Committed) {
		if len(m.state.Committed.Ledger) == 0 && len(doc.Ledger) > 0 && doc.sameAs(m.state.Committed) {
			m.state.Committed, m.dirty = doc, true
		}
		return
	}
	if m.primary != nil {
		m.recordDelta(m.state.Committed, doc)
	}
	m.state.Committed, m.dirty, m.behindSince = doc, true, 0
	if !m.state.Pending.Supersedes(doc) {
		m.state.Pending = Doc{}
	}
}

// wide is how many bytes the primary sends at once, 40 ms of the slowest core link; where
// there are more, the other members pass documents on.
const maxDirectPush = 512 << 10

// push brings a document to all.
func (m *Machine) push(doc Doc) {
	doc = doc.withoutLedger()
	all := m.knownProcesses()
	if doc.Rev > 0 && len(doc.Attachment) == 0 {
		for _, to := range all {
			m.send(to, CommitAmendment{doc.Version, doc.Rev, doc.CreatedIn, 0})
		}
		return
	}
	p, size := Push{Doc: doc}, len(doc.Body)
	if all := m.deltasSince(m.deltaBase(doc)); all != nil {
		p, size = Push{Deltas: all}, all[0].size()
	} else if whole := m.committedPush(0); len(whole.Deltas) > 0 {
		p, size = whole, whole.Deltas[0].size()
	}
	on := map[string][]string{}
	if len(all)*size > maxDirectPush {
		var relays []string
		for _, p := range m.peers {
			if p.Up && p.Member && p.Addr != m.config.Self {
				relays = append(relays, p.Addr)
			}
		}
		direct := slices.Concat(relays, m.likelyMembers())
		if len(relays) > 0 {
			rest := slices.DeleteFunc(slices.Clone(all), func(a string) bool { return slices.Contains(direct, a) })
			for i, a := range rest {
				on[relays[i%len(relays)]] = append(on[relays[i%len(relays)]], a)
			}
			all = slices.DeleteFunc(all, func(a string) bool { return !slices.Contains(direct, a) })
		}
	}
	for _, to := range all {
		p.Relay = on[to]
		m.send(to, p)
	}
}

// way is how long a document like ours may be on a slow link: who hears of one before it
// comes need not ask for it as well.
func (m *Machine) committedTransferTime() time.Duration {
	return min(TransferTime(len(m.state.Committed.Body)), maxTransferWait)
}

// mostWay: large documents mostly come as differences. Who waited for the time of a whole one would be
// late where a difference was lost.
const maxTransferWait = 2 * time.Second

// Way is how long so many bytes may be on a slow link.
func TransferTime(bytes int) time.Duration { return time.Duration(bytes) * slowLinkTimePerByte }

// heardOf notes a committed version; the document itself mostly comes by a push.
func (m *Machine) noteReportedVersion(from string, version uint32) {
	if version <= m.state.Committed.Version || version <= m.reportedVersion {
		return
	}
	m.reportedVersion, m.reportedBy = version, from
	if m.now-m.pulledAt >= pullInterval {
		m.pulledAt = m.now - pullInterval + 100*time.Millisecond + m.committedTransferTime()
	}
}

// catchUp asks for a newer document if somebody has one.
func (m *Machine) catchUp() {
	if m.now-m.pulledAt < pullInterval || m.bug == BugNoCatchUp {
		return
	}
	held := m.state.Committed.Version
	var who []string
	if m.reportedVersion > held {
		who = append(who, m.reportedBy, m.view.primary())
	}
	var ahead []Peer // mostly nobody
	if m.newestPeerVersion > held {
		for _, p := range m.peers {
			if p.Version > held && p.Up {
				ahead = append(ahead, p)
			}
		}
	}
	slices.SortFunc(ahead, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.Version, a.Version), cmp.Compare(a.Addr, b.Addr))
	})
	for _, p := range m.pullCandidates(ahead) {
		who = append(who, p.Addr)
	}
	if who = m.withoutSelf(who); len(who) > 0 {
		if m.behindSince == 0 {
			m.behindSince = m.now
		}
		if m.now-m.behindSince < m.committedTransferTime() {
			return
		}
		m.pulledAt = m.now
		m.rotation++
		at := m.rotation
		if len(ahead) > maxPullCandidates {
			at += int(m.runID >> 40)
		}
		m.send(who[at%len(who)], Pull{Version: held, AcceptsDeltas: true})
	}
}

const (
	maxPullCandidates = 8        // of those that are ahead
	minLargeDoc       = 64 << 10 // bytes
)

// some of those that are ahead are asked: of many each process begins with others, since where all start at once
// the first of them would send the document to all.
func (m *Machine) pullCandidates(ahead []Peer) []Peer {
	n := len(ahead)
	if n <= maxPullCandidates {
		return ahead
	}
	for i, p := range ahead {
		if p.Version < ahead[0].Version {
			n = i
			break
		}
	}
	if n <= maxPullCandidates {
		return ahead[:maxPullCandidates]
	}
	from := int(m.runID % uint64(n))
	return slices.Concat(ahead[from:n], ahead[:from])[:maxPullCandidates]
}

// bring answers who asks for a document. A large one that it was given just now may be on its way still: one more behind it would
// only make both later.
func (m *Machine) sendDoc(to string, p Push) {
	size := len(p.Doc.Body)
	for _, d := range p.Deltas {
		size += d.size()
	}
	if size < minLargeDoc {
		m.send(to, p)
		return
	}
	for a, at := range m.largeSentAt {
		if m.now-at >= maxTransferWait {
			delete(m.largeSentAt, a)
		}
	}
	if at, ok := m.largeSentAt[to]; ok && m.now-at < min(TransferTime(size), maxTransferWait) {
		return
	}
	if m.largeSentAt == nil {
		m.largeSentAt = map[string]fsm.Time{}
	}
	m.largeSentAt[to] = m.now
	m.send(to, p)
}
