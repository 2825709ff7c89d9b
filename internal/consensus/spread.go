package consensus

import (
	"cmp"
	"slices"
	"time"

	"asterwell/internal/fsm"
)

// likelyMembers returns the processes that may be members or know them.
func (m *Machine) likelyMembers() []string {
	var addrs []string
	for _, s := range m.view.Members {
		addrs = append(addrs, s.Addr)
	}
	for _, p := range m.peers {
		if p.Up && p.Member {
			addrs = append(addrs, p.Addr)
		}
	}
	return m.withoutSelf(append(addrs, m.seeds...))
}

// knownProcesses returns the processes that a primary sends changes to.
func (m *Machine) knownProcesses() []string {
	addrs := m.likelyMembers()
	for _, p := range m.peers {
		if p.Up {
			addrs = append(addrs, p.Addr)
		}
	}
	return m.withoutSelf(addrs)
}

func (m *Machine) withoutSelf(addrs []string) []string {
	slices.Sort(addrs)
	addrs = slices.Compact(addrs)
	return slices.DeleteFunc(addrs, func(a string) bool { return a == m.config.Self || a == "" })
}

func (m *Machine) sendView(to string) {
	if !m.view.isZero() {
		m.send(to, View{Record: m.view, Version: m.state.Committed.Version, Leading: m.primary != nil,
			ReadsPacked: true})
	}
}

// commit takes a document that is certainly committed. Others are never applied: they may be lost,
// and their version may be used for another document.
func (m *Machine) commit(doc Doc) {
	if doc.sameAs(m.state.Pending) {
		doc = m.state.Pending // with its ledger
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

// maxDirectPush is how many bytes the primary sends at once, 40 ms of the slowest link between
// members. Beyond it, the other members forward documents.
const maxDirectPush = 512 << 10

// push sends a document to all known processes.
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
	relayTo := map[string][]string{}
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
				relayTo[relays[i%len(relays)]] = append(relayTo[relays[i%len(relays)]], a)
			}
			all = slices.DeleteFunc(all, func(a string) bool { return !slices.Contains(direct, a) })
		}
	}
	for _, to := range all {
		p.Relay = relayTo[to]
		m.send(to, p)
	}
}

// committedTransferTime returns how long a document of the committed one's size may take on a slow
// link. A process that hears of a new version doesn't request it while it may still be arriving.
func (m *Machine) committedTransferTime() time.Duration {
	return min(TransferTime(len(m.state.Committed.Body)), maxTransferWait)
}

// maxTransferWait limits that wait: large documents mostly come as deltas, and waiting for the time
// of a whole one would be too long if a delta was lost.
const maxTransferWait = 2 * time.Second

// TransferTime returns how long so many bytes may take on a slow link.
func TransferTime(bytes int) time.Duration { return time.Duration(bytes) * slowLinkTimePerByte }

// noteReportedVersion records a committed version. The document itself mostly arrives by a push.
func (m *Machine) noteReportedVersion(from string, version uint32) {
	if version <= m.state.Committed.Version || version <= m.reportedVersion {
		return
	}
	m.reportedVersion, m.reportedBy = version, from
	if m.now-m.pulledAt >= pullInterval {
		m.pulledAt = m.now - pullInterval + 100*time.Millisecond + m.committedTransferTime()
	}
}

// catchUp requests a newer document if another process has one.
func (m *Machine) catchUp() {
	if m.now-m.pulledAt < pullInterval || m.bug == BugNoCatchUp {
		return
	}
	version := m.state.Committed.Version
	var targets []string
	if m.reportedVersion > version {
		targets = append(targets, m.reportedBy, m.view.primary())
	}
	var ahead []Peer // mostly empty
	if m.newestPeerVersion > version {
		for _, p := range m.peers {
			if p.Version > version && p.Up {
				ahead = append(ahead, p)
			}
		}
	}
	slices.SortFunc(ahead, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.Version, a.Version), cmp.Compare(a.Addr, b.Addr))
	})
	for _, p := range m.pullCandidates(ahead) {
		targets = append(targets, p.Addr)
	}
	if targets = m.withoutSelf(targets); len(targets) > 0 {
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
		m.send(targets[at%len(targets)], Pull{Version: version, AcceptsDeltas: true})
	}
}

const (
	maxPullCandidates = 8        // of those that are ahead
	minLargeDoc       = 64 << 10 // bytes
)

// pullCandidates limits the processes to ask. If many are ahead, each process starts with different
// ones: otherwise all would ask the first of them for the document at the same time.
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
	first := int(m.runID % uint64(n))
	return slices.Concat(ahead[first:n], ahead[:first])[:maxPullCandidates]
}

// sendDoc answers a Pull. If a large document was sent to the same process just now, it may still
// be in transit, and a second copy would only delay both.
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
