package registry

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"asterwell/internal/fsm"
)

// Filled says whether the table can be relied on: one that is filled has given us
// its own, or there is nobody, or nobody has had one since all started.
func (m *Machine) Complete() bool { return m.complete }

const (
	fetchInterval   = 300 * time.Millisecond
	emptyStartAfter = time.Second
	maxFetchWait    = 3 * time.Second
)

// fill asks for a table until there is one.
func (m *Machine) fetchTable() {
	if m.complete {
		return
	}
	since := m.now - m.startedAt
	switch {
	case len(m.peers) == 0:
		m.complete = since >= emptyStartAfter && m.aloneSince >= 0 && m.now-m.aloneSince >= emptyStartAfter
	case m.gotPartialTable && (m.hasRestored || since >= 3*emptyStartAfter/2), since >= maxFetchWait:
		m.acceptRestored() // nobody knows better
	}
	if m.complete || len(m.peers) == 0 || m.now < m.nextFetch {
		return
	}
	m.nextFetch = m.now + fetchInterval
	if since < emptyStartAfter/3 {
		m.nextFetch = m.now + fetchInterval/3
	}
	ask := m.randomPeers(2)
	for _, a := range m.randomPeers(len(m.peers)) { // those with a disk may have kept theirs
		if m.nodes[a].Member {
			ask[0] = a
			break
		}
	}
	for _, a := range slices.Compact(ask) {
		m.send(a, Fetch{})
	}
}

func (m *Machine) randomPeers(n int) []string {
	if n == 1 && len(m.peers) > 0 { // the common case
		return []string{m.peers[m.rand.IntN(len(m.peers))]}
	}
	p := slices.Clone(m.peers)
	m.rand.Shuffle(len(p), func(i, j int) { p[i], p[j] = p[j], p[i] })
	return p[:min(n, len(p))]
}

// mend looks with n others whether the tables differ.
func (m *Machine) requestComparison(n int) {
	if !m.complete {
		return // the whole table is under way
	}
	for _, a := range m.randomPeers(n) {
		m.send(a, TableDigest{Hash: m.tableDigest})
	}
}

// Take hears a message.
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
			m.send(from, Ack{Number: x.Number, Origin: x.Origin})
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
		w := FullTable{Complete: m.complete && !m.isolatedTooLong()}
		for _, it := range m.sorted {
			if !it.outdated && !m.isolatedTooLong() && (m.complete || !m.queued[it.ID]) {
				w.Rows = append(w.Rows, m.wireRow(it.Server))
			}
		}
		m.send(from, w)
	case FullTable:
		m.applyFullTable(x)
	}
	return m.takeOutput()
}

// stale: nobody else was there for so long that our table must not be told as news.
// A message from one of them may come before the membership says that they are back.
func (m *Machine) isolatedTooLong() bool {
	return m.aloneSince >= 0 && m.now-m.aloneSince > outdatedAfter
}

func isReconciliation(msg any) bool {
	switch msg.(type) {
	case TableDigest, ServiceDigests, Index, Diff:
		return true
	}
	return false
}

func (m *Machine) applyFullTable(w FullTable) {
	for _, r := range w.Rows {
		m.merge(r)
	}
	if m.complete {
		return
	}
	m.gotPartialTable = true
	if !w.Complete {
		return
	}
	m.complete = true
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

func (m *Machine) serviceDigests() []byte {
	b := make([]byte, 0, 12*len(m.services))
	for _, key := range sortedKeys(m.services) {
		if k := m.services[key]; k.liveCount > 0 {
			b = binary.BigEndian.AppendUint32(b, key)
			b = binary.BigEndian.AppendUint64(b, k.digest)
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

// differing is our index of the services whose hashes are not theirs.
func (m *Machine) indexOfDiffering(rows []byte) Index {
	theirs := map[uint32]uint64{}
	for ; len(rows) >= 12; rows = rows[12:] {
		theirs[binary.BigEndian.Uint32(rows)] = binary.BigEndian.Uint64(rows[4:])
	}
	var x Index
	for key, k := range m.services {
		h, has := theirs[key]
		delete(theirs, key)
		if k.liveCount > 0 != has || k.liveCount > 0 && k.digest != h {
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

// among goes over the servers of services.
func (m *Machine) forEachServer(services []uint32, do func(it *item)) {
	for _, key := range services {
		if k := m.services[key]; k != nil {
			for _, p := range k.groups {
				for _, it := range p.servers {
					do(it)
				}
			}
		}
	}
}

// compare gives what an index lacks or has otherwise, and asks for the same.
func (m *Machine) answerIndex(from string, x Index) {
	theirs := map[uint32]uint32{}
	for rows := x.Rows; len(rows) >= 8; rows = rows[8:] {
		theirs[binary.BigEndian.Uint32(rows)] = binary.BigEndian.Uint32(rows[4:])
	}
	slices.Sort(x.Services)
	x.Services = slices.Compact(x.Services)
	var d Diff
	look := func(it *item, asked bool) {
		v, has := theirs[it.idHash]
		delete(theirs, it.idHash)
		if has && v == uint32(it.digest) {
			return
		}
		if has {
			d.Want = append(d.Want, it.idHash)
		}
		if (has || asked && it.Phase != Ended) && !it.outdated {
			d.Rows = append(d.Rows, m.wireRow(it.Server))
		}
	}
	m.forEachServer(x.Services, func(it *item) { look(it, true) })
	if len(theirs) > 0 { // unknown here, or of another service
		for _, it := range m.sorted {
			if _, has := theirs[it.idHash]; has {
				look(it, false)
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

// patch takes the rows of an exchange and gives those asked for. Of an ended server
// that was forgotten here nothing is taken up.
func (m *Machine) applyDiff(from string, d Diff) {
	var back Diff
	news := false
	for _, r := range d.Rows {
		it := m.items[r.ID]
		switch {
		case it != nil && !it.outdated && it.supersedes(r.server(m.now)):
			back.Rows = append(back.Rows, m.wireRow(it.Server))
		case it != nil || r.Phase != Ended:
			news = m.merge(r) || news
		}
	}
	if news {
		m.nextReconcile = min(m.nextReconcile, m.now+reconcileDelay+m.comparisonInterval()) // others may lack it too
	}
	for _, it := range m.sorted {
		if len(d.Want) == 0 {
			break
		}
		if _, ok := slices.BinarySearch(d.Want, it.idHash); ok && !it.outdated {
			back.Rows = append(back.Rows, m.wireRow(it.Server))
		}
	}
	if len(back.Rows) > 0 {
		m.send(from, back)
	}
}
