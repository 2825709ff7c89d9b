package registry

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"asterwell/internal/fsm"
)

// Complete reports whether the table can be relied on: a process with a complete table has sent its
// own, or there is no other process, or no process has had a table since all started.
func (m *Machine) Complete() bool { return m.complete }

const (
	fetchInterval   = 300 * time.Millisecond
	emptyStartAfter = time.Second
	maxFetchWait    = 3 * time.Second
)

// fetchTable requests full tables until this one is complete.
func (m *Machine) fetchTable() {
	if m.complete {
		return
	}
	since := m.now - m.startedAt
	switch {
	case len(m.peers) == 0:
		if since >= emptyStartAfter && m.aloneSince >= 0 && m.now-m.aloneSince >= emptyStartAfter {
			m.becomeComplete()
		}
	case m.gotPartialTable && m.hasRestored && m.hasReadMajority(), m.gotPartialTable && !m.hasRestored && since >= 3*emptyStartAfter/2, since >= maxFetchWait:
		m.acceptRestored() // no process has a better table
	}
	if m.complete || len(m.peers) == 0 || m.now < m.nextFetch {
		return
	}
	m.nextFetch = m.now + fetchInterval
	if since < emptyStartAfter/3 {
		m.nextFetch = m.now + fetchInterval/3
	}
	ask := m.randomPeers(2)
	for _, a := range m.randomPeers(len(m.peers)) { // processes with a disk may have restored a table
		if m.nodes[a].Member {
			ask[0] = a
			break
		}
	}
	if m.hasRestored {
		ask = append(ask, m.unreadVoters()...)
	}
	slices.Sort(ask)
	for _, a := range slices.Compact(ask) {
		m.send(a, Fetch{})
	}
}

// randomPeers returns up to n random peers.
func (m *Machine) randomPeers(n int) []string {
	if n == 1 && len(m.peers) > 0 { // the common case
		return []string{m.peers[m.rand.IntN(len(m.peers))]}
	}
	p := slices.Clone(m.peers)
	m.rand.Shuffle(len(p), func(i, j int) { p[i], p[j] = p[j], p[i] })
	return p[:min(n, len(p))]
}

// requestComparison sends the digest of the table to n random peers.
func (m *Machine) requestComparison(n int) {
	if !m.complete {
		return // a full table was requested
	}
	for _, a := range m.randomPeers(n) {
		m.send(a, TableDigest{Hash: m.tableDigest})
	}
}

// Receive handles a message.
func (m *Machine) Receive(now fsm.Time, from string, msg any) Out {
	m.startInput(now)
	if m.isolatedTooLong() && isReconciliation(msg) {
		return m.takeOutput()
	}
	switch x := msg.(type) {
	case Update:
		for _, r := range x.Rows {
			if m.merge(r) {
				m.lastUpdate = m.now
			}
		}
		switch {
		case x.RelayTo != "" && x.RelayTo != m.self:
			m.send(x.RelayTo, Update{Number: x.Number, Rows: x.Rows, Origin: from})
		case len(x.ForwardTo) > 0:
			m.forward(from, x)
		case x.Number != 0:
			m.confirmWhenStored(x.Rows, deferredAck{to: from, ack: Ack{Number: x.Number, Origin: x.Origin}})
		}
	case Ack:
		switch {
		case x.Origin != "" && x.Origin != m.self:
			m.forwardAck(from, x)
		case x.Confirmer != "":
			m.confirm(x.Number, x.Confirmer)
		default:
			m.confirm(x.Number, append(x.ConfirmedBy, from)...)
		}
	case ForwardedHeartbeat:
		s := x.Row.server(now)
		if it := m.items[s.ID]; it == nil || it.Phase != Ended && s.Seq > it.latestSeq() {
			if m.recordHeartbeat(s) {
				m.queueUpdate(s.ID)
			}
		}
	case TableDigest:
		if x.Hash != m.tableDigest && m.complete && m.mayCompare() {
			m.send(from, ServiceDigests{Rows: m.serviceDigests()})
		}
	case ServiceDigests:
		if x := m.indexOfDiffering(x.Rows); len(x.Services) > 0 {
			m.send(from, x)
		}
	case Index:
		m.answerIndex(from, x)
	case Diff:
		m.applyDiff(from, x)
	case Fetch:
		w := FullTable{Complete: m.complete && !m.isolatedTooLong(), Vouches: m.disk != nil && m.disk.intact && !m.isolatedTooLong()}
		for _, it := range m.sorted {
			if !it.outdated && !m.isolatedTooLong() && (m.complete || !m.queued[it.ID]) {
				w.Rows = append(w.Rows, m.wireRow(it.Server))
			}
		}
		m.send(from, w)
	case FullTable:
		m.applyFullTable(from, x)
	}
	return m.takeOutput()
}

// isolatedTooLong reports whether this process was alone for so long that its table must not be
// sent as current. A message from a returning process may arrive before the membership reports it.
func (m *Machine) isolatedTooLong() bool {
	return m.aloneSince >= 0 && m.now-m.aloneSince > outdatedAfter
}

// isReconciliation reports whether a message compares or exchanges tables.
func isReconciliation(msg any) bool {
	switch msg.(type) {
	case TableDigest, ServiceDigests, Index, Diff:
		return true
	}
	return false
}

// applyFullTable merges a table from a process. If that one is complete, outdated servers that it
// does not know are dropped.
func (m *Machine) applyFullTable(from string, w FullTable) {
	for _, r := range w.Rows {
		m.merge(r)
	}
	if m.complete {
		return
	}
	m.gotPartialTable = true
	if w.Vouches {
		m.vouched[from] = true
	}
	if !w.Complete {
		return
	}
	m.becomeComplete()
	for _, it := range slices.Clone(m.sorted) {
		if it.outdated {
			s := it.Server
			s.Phase = Ended
			m.out.Changes = append(m.out.Changes, s)
			m.removeItem(it)
		}
	}
}

func hash32(s string) uint32 { return uint32(xxhash.Sum64String(s)) }

// serviceDigests encodes the digest of each service that has servers.
func (m *Machine) serviceDigests() []byte {
	b := make([]byte, 0, 12*len(m.services))
	for _, key := range sortedKeys(m.services) {
		if info := m.services[key]; info.liveCount > 0 {
			b = binary.BigEndian.AppendUint32(b, key)
			b = binary.BigEndian.AppendUint64(b, info.digest)
		}
	}
	return b
}

func sortedKeys[V any](in map[uint32]V) []uint32 {
	out := make([]uint32, 0, len(in))
	for k := range in {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// indexOfDiffering returns the index of the services whose digests differ from the given ones.
func (m *Machine) indexOfDiffering(rows []byte) Index {
	theirs := map[uint32]uint64{}
	for ; len(rows) >= 12; rows = rows[12:] {
		theirs[binary.BigEndian.Uint32(rows)] = binary.BigEndian.Uint64(rows[4:])
	}
	var x Index
	for key, info := range m.services {
		h, has := theirs[key]
		delete(theirs, key)
		if info.liveCount > 0 != has || info.liveCount > 0 && info.digest != h {
			x.Services = append(x.Services, key)
		}
	}
	x.Services = append(x.Services, sortedKeys(theirs)...)
	slices.Sort(x.Services)
	m.forEachServer(x.Services, func(it *item) {
		x.Rows = binary.BigEndian.AppendUint32(x.Rows, it.idHash)
		x.Rows = binary.BigEndian.AppendUint32(x.Rows, uint32(it.digest))
	})
	return x
}

// forEachServer calls do for the servers of the given services.
func (m *Machine) forEachServer(services []uint32, do func(it *item)) {
	for _, key := range services {
		if info := m.services[key]; info != nil {
			for _, group := range info.groups {
				for _, it := range group.servers {
					do(it)
				}
			}
		}
	}
}

// answerIndex sends the rows that an index lacks or has in another version, and asks for those that
// the other process has in another version.
func (m *Machine) answerIndex(from string, x Index) {
	theirs := map[uint32]uint32{}
	for rows := x.Rows; len(rows) >= 8; rows = rows[8:] {
		theirs[binary.BigEndian.Uint32(rows)] = binary.BigEndian.Uint32(rows[4:])
	}
	slices.Sort(x.Services)
	x.Services = slices.Compact(x.Services)
	var d Diff
	compareItem := func(it *item, listed bool) {
		v, has := theirs[it.idHash]
		delete(theirs, it.idHash)
		if has && v == uint32(it.digest) {
			return
		}
		if has {
			d.Want = append(d.Want, it.idHash)
		}
		if (has || listed && it.Phase != Ended) && !it.outdated {
			d.Rows = append(d.Rows, m.wireRow(it.Server))
		}
	}
	m.forEachServer(x.Services, func(it *item) { compareItem(it, true) })
	if len(theirs) > 0 { // unknown here, or of another service
		for _, it := range m.sorted {
			if _, has := theirs[it.idHash]; has {
				compareItem(it, false)
			}
		}
	}
	d.Want = append(d.Want, sortedKeys(theirs)...)
	slices.Sort(d.Want)
	slices.SortFunc(d.Rows, func(a, b Row) int { return strings.Compare(a.ID, b.ID) })
	if len(d.Rows)+len(d.Want) > 0 {
		m.send(from, d)
	}
}

// applyDiff merges the rows of an exchange and sends those requested. An ended server that is
// already forgotten here is not added again.
func (m *Machine) applyDiff(from string, d Diff) {
	var reply Diff
	changed := false
	for _, r := range d.Rows {
		it := m.items[r.ID]
		switch {
		case it != nil && !it.outdated && it.supersedes(r.server(m.now)):
			reply.Rows = append(reply.Rows, m.wireRow(it.Server))
		case it != nil || r.Phase != Ended:
			changed = m.merge(r) || changed
		}
	}
	if changed {
		m.nextReconcile = min(m.nextReconcile, m.now+reconcileDelay+m.comparisonInterval()) // others may lack these rows too
	}
	for _, it := range m.sorted {
		if len(d.Want) == 0 {
			break
		}
		if _, ok := slices.BinarySearch(d.Want, it.idHash); ok && !it.outdated {
			reply.Rows = append(reply.Rows, m.wireRow(it.Server))
		}
	}
	if len(reply.Rows) > 0 {
		m.send(from, reply)
	}
}
