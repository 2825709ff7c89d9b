package consensus

import (
	"cmp"
	"slices"
	"time"

	"asterwell/internal/fsm"
)

// near are the processes that may be members, or know them.
func (m *Machine) near() []string {
	var who []string
	for _, s := range m.view.Members {
		who = append(who, s.Addr)
	}
	for _, p := range m.peers {
		if p.Up && p.Member {
			who = append(who, p.Addr)
		}
	}
	return m.others(append(who, m.seeds...))
}

// everyone are the processes that a primary tells news.
func (m *Machine) everyone() []string {
	who := m.near()
	for _, p := range m.peers {
		if p.Up {
			who = append(who, p.Addr)
		}
	}
	return m.others(who)
}

func (m *Machine) others(who []string) []string {
	slices.Sort(who)
	who = slices.Compact(who)
	return slices.DeleteFunc(who, func(a string) bool { return a == m.c.Self || a == "" })
}

func (m *Machine) tell(to string) {
	if !m.view.none() {
		m.send(to, View{Record: m.view, Version: m.d.Committed.Version, Leading: m.lead != nil, ReadsPacked: true})
	}
}

// commit takes a document that is committed for certain. One that is not is never
// adopted: it may be lost, and another one take its version.
func (m *Machine) commit(doc Doc) {
	if doc.is(m.d.Pending) {
		doc = m.d.Pending // with its orders
	}
	if !doc.Supersedes(m.d.Committed) {
		if len(m.d.Committed.Ledger) == 0 && len(doc.Ledger) > 0 && doc.is(m.d.Committed) {
			m.d.Committed, m.dirty = doc, true
		}
		return
	}
	if m.lead != nil {
		m.step(m.d.Committed, doc)
	}
	m.d.Committed, m.dirty, m.behind = doc, true, 0
	if !m.d.Pending.Supersedes(doc) {
		m.d.Pending = Doc{}
	}
}

// wide is how many bytes the primary sends at once, 40 ms of the slowest core link; where
// there are more, the other members pass documents on.
const wide = 512 << 10

// push brings a document to all.
func (m *Machine) push(doc Doc) {
	doc = doc.bare()
	all := m.everyone()
	if doc.Rev > 0 && len(doc.Attachment) == 0 {
		for _, to := range all {
			m.send(to, CommitAmendment{doc.Version, doc.Rev, doc.CreatedIn, 0})
		}
		return
	}
	p, size := Push{Doc: doc}, len(doc.Body)
	if all := m.since(m.before(doc)); all != nil {
		p, size = Push{Deltas: all}, all[0].size()
	} else if whole := m.parcel(0); len(whole.Deltas) > 0 {
		p, size = whole, whole.Deltas[0].size()
	}
	on := map[string][]string{}
	if len(all)*size > wide {
		var relays []string
		for _, p := range m.peers {
			if p.Up && p.Member && p.Addr != m.c.Self {
				relays = append(relays, p.Addr)
			}
		}
		direct := slices.Concat(relays, m.near())
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
func (m *Machine) way() time.Duration { return min(TransferTime(len(m.d.Committed.Body)), mostWay) }

// mostWay: large documents mostly come as differences. Who waited for the time of a whole one would be
// late where a difference was lost.
const mostWay = 2 * time.Second

// Way is how long so many bytes may be on a slow link.
func TransferTime(bytes int) time.Duration { return time.Duration(bytes) * retryByte }

// heardOf notes a committed version; the document itself mostly comes by a push.
func (m *Machine) heardOf(from string, version uint32) {
	if version <= m.d.Committed.Version || version <= m.told {
		return
	}
	m.told, m.teller = version, from
	if m.now-m.pulled >= pullEvery {
		m.pulled = m.now - pullEvery + 100*time.Millisecond + m.way()
	}
}

// catchUp asks for a newer document if somebody has one.
func (m *Machine) catchUp() {
	if m.now-m.pulled < pullEvery || m.bug == BugNoCatchUp {
		return
	}
	held := m.d.Committed.Version
	var who []string
	if m.told > held {
		who = append(who, m.teller, m.view.primary())
	}
	var ahead []Peer // mostly nobody
	if m.most > held {
		for _, p := range m.peers {
			if p.Version > held && p.Up {
				ahead = append(ahead, p)
			}
		}
	}
	slices.SortFunc(ahead, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.Version, a.Version), cmp.Compare(a.Addr, b.Addr))
	})
	for _, p := range m.some(ahead) {
		who = append(who, p.Addr)
	}
	if who = m.others(who); len(who) > 0 {
		if m.behind == 0 {
			m.behind = m.now
		}
		if m.now-m.behind < m.way() {
			return
		}
		m.pulled = m.now
		m.turn++
		at := m.turn
		if len(ahead) > mostAsked {
			at += int(m.salt >> 40)
		}
		m.send(who[at%len(who)], Pull{Version: held, AcceptsDeltas: true})
	}
}

const (
	mostAsked  = 8        // of those that are ahead
	largeGiven = 64 << 10 // bytes
)

// some of those that are ahead are asked: of many each process begins with others, since where all start at once
// the first of them would send the document to all.
func (m *Machine) some(ahead []Peer) []Peer {
	n := len(ahead)
	if n <= mostAsked {
		return ahead
	}
	for i, p := range ahead {
		if p.Version < ahead[0].Version {
			n = i
			break
		}
	}
	if n <= mostAsked {
		return ahead[:mostAsked]
	}
	from := int(m.salt % uint64(n))
	return slices.Concat(ahead[from:n], ahead[:from])[:mostAsked]
}

// bring answers who asks for a document. A large one that it was given just now may be on its way still: one more behind it would
// only make both later.
func (m *Machine) bring(to string, p Push) {
	size := len(p.Doc.Body)
	for _, d := range p.Deltas {
		size += d.size()
	}
	if size < largeGiven {
		m.send(to, p)
		return
	}
	for a, at := range m.given {
		if m.now-at >= mostWay {
			delete(m.given, a)
		}
	}
	if at, ok := m.given[to]; ok && m.now-at < min(TransferTime(size), mostWay) {
		return
	}
	if m.given == nil {
		m.given = map[string]fsm.Time{}
	}
	m.given[to] = m.now
	m.send(to, p)
}
