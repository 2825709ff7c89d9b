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
func (m *Machine) Complete() bool { return m.filled }

const (
	fetchIn  = 300 * time.Millisecond
	startFor = time.Second
	hopeFor  = 3 * time.Second
)

// fill asks for a table until there is one.
func (m *Machine) fill() {
	if m.filled {
		return
	}
	since := m.now - m.began
	switch {
	case len(m.peers) == 0:
		m.filled = since >= startFor && m.alone >= 0 && m.now-m.alone >= startFor
	case m.partly && (m.restored || since >= 3*startFor/2), since >= hopeFor:
		m.recall() // nobody knows better
	}
	if m.filled || len(m.peers) == 0 || m.now < m.fetch {
		return
	}
	m.fetch = m.now + fetchIn
	if since < startFor/3 {
		m.fetch = m.now + fetchIn/3
	}
	ask := m.some(2)
	for _, a := range m.some(len(m.peers)) { // those with a disk may have kept theirs
		if m.nodes[a].Member {
			ask[0] = a
			break
		}
	}
	for _, a := range slices.Compact(ask) {
		m.send(a, Fetch{})
	}
}

func (m *Machine) some(n int) []string {
	if n == 1 && len(m.peers) > 0 { // the common case
		return []string{m.peers[m.rand.IntN(len(m.peers))]}
	}
	p := slices.Clone(m.peers)
	m.rand.Shuffle(len(p), func(i, j int) { p[i], p[j] = p[j], p[i] })
	return p[:min(n, len(p))]
}

// mend looks with n others whether the tables differ.
func (m *Machine) mend(n int) {
	if !m.filled {
		return // the whole table is under way
	}
	for _, a := range m.some(n) {
		m.send(a, TableDigest{Hash: m.sum})
	}
}

// Take hears a message.
func (m *Machine) Receive(now fsm.Time, from string, msg any) Out {
	m.begins(now)
	if m.stale() && exchange(msg) {
		return m.take()
	}
	switch x := msg.(type) {
	case Update:
		for _, r := range x.Rows {
			if m.merge(r) {
				m.learnt = m.now
			}
		}
		switch {
		case x.RelayTo != "" && x.RelayTo != m.self:
			m.send(x.RelayTo, Update{Number: x.Number, Rows: x.Rows, Origin: from})
		case len(x.ForwardTo) > 0:
			m.passOn(from, x)
		case x.Number != 0:
			m.send(from, Ack{Number: x.Number, Origin: x.Origin})
		}
	case Ack:
		switch {
		case x.Origin != "" && x.Origin != m.self:
			m.passBack(from, x)
		case x.Confirmer != "":
			m.confirm(x.Number, x.Confirmer)
		default:
			m.confirm(x.Number, append(x.ConfirmedBy, from)...)
		}
	case ForwardedHeartbeat:
		s := x.Row.server(now)
		if it := m.items[s.ID]; it == nil || it.Phase != Ended && s.Seq > it.stand() {
			if m.hear(s) {
				m.tell(s.ID)
			}
		}
	case TableDigest:
		if x.Hash != m.sum && m.filled && m.compares() {
			m.send(from, ServiceDigests{Rows: m.parts()})
		}
	case ServiceDigests:
		if x := m.differing(x.Rows); len(x.Services) > 0 {
			m.send(from, x)
		}
	case Index:
		m.compare(from, x)
	case Diff:
		m.patch(from, x)
	case Fetch:
		w := FullTable{Complete: m.filled && !m.stale()}
		for _, it := range m.all {
			if !it.old && !m.stale() && (m.filled || !m.queue[it.ID]) {
				w.Rows = append(w.Rows, m.brief(it.Server))
			}
		}
		m.send(from, w)
	case FullTable:
		m.whole(x)
	}
	return m.take()
}

// stale: nobody else was there for so long that our table must not be told as news.
// A message from one of them may come before the membership says that they are back.
func (m *Machine) stale() bool { return m.alone >= 0 && m.now-m.alone > longGap }

func exchange(msg any) bool {
	switch msg.(type) {
	case TableDigest, ServiceDigests, Index, Diff:
		return true
	}
	return false
}

func (m *Machine) whole(w FullTable) {
	for _, r := range w.Rows {
		m.merge(r)
	}
	if m.filled {
		return
	}
	m.partly = true
	if !w.Complete {
		return
	}
	m.filled = true
	for _, it := range slices.Clone(m.all) {
		if it.old {
			s := it.Server
			s.Phase = Ended
			m.out.Changes = append(m.out.Changes, s)
			m.remove(it)
		}
	}
}

func short(s string) uint32 { return uint32(xxhash.Sum64String(s)) }

func (m *Machine) parts() []byte {
	b := make([]byte, 0, 12*len(m.kinds))
	for _, key := range keys(m.kinds) {
		if k := m.kinds[key]; k.live > 0 {
			b = binary.BigEndian.AppendUint32(b, key)
			b = binary.BigEndian.AppendUint64(b, k.sum)
		}
	}
	return b
}

func keys[V any](in map[uint32]V) []uint32 {
	out := make([]uint32, 0, len(in))
	for k := range in {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// differing is our index of the services whose hashes are not theirs.
func (m *Machine) differing(rows []byte) Index {
	theirs := map[uint32]uint64{}
	for ; len(rows) >= 12; rows = rows[12:] {
		theirs[binary.BigEndian.Uint32(rows)] = binary.BigEndian.Uint64(rows[4:])
	}
	var x Index
	for key, k := range m.kinds {
		h, has := theirs[key]
		delete(theirs, key)
		if k.live > 0 != has || k.live > 0 && k.sum != h {
			x.Services = append(x.Services, key)
		}
	}
	x.Services = append(x.Services, keys(theirs)...)
	slices.Sort(x.Services)
	m.among(x.Services, func(it *item) {
		x.Rows = binary.BigEndian.AppendUint32(x.Rows, it.key)
		x.Rows = binary.BigEndian.AppendUint32(x.Rows, uint32(it.mark))
	})
	return x
}

// among goes over the servers of services.
func (m *Machine) among(services []uint32, do func(it *item)) {
	for _, key := range services {
		if k := m.kinds[key]; k != nil {
			for _, p := range k.places {
				for _, it := range p.items {
					do(it)
				}
			}
		}
	}
}

// compare gives what an index lacks or has otherwise, and asks for the same.
func (m *Machine) compare(from string, x Index) {
	theirs := map[uint32]uint32{}
	for rows := x.Rows; len(rows) >= 8; rows = rows[8:] {
		theirs[binary.BigEndian.Uint32(rows)] = binary.BigEndian.Uint32(rows[4:])
	}
	slices.Sort(x.Services)
	x.Services = slices.Compact(x.Services)
	var d Diff
	look := func(it *item, asked bool) {
		v, has := theirs[it.key]
		delete(theirs, it.key)
		if has && v == uint32(it.mark) {
			return
		}
		if has {
			d.Want = append(d.Want, it.key)
		}
		if (has || asked && it.Phase != Ended) && !it.old {
			d.Rows = append(d.Rows, m.brief(it.Server))
		}
	}
	m.among(x.Services, func(it *item) { look(it, true) })
	if len(theirs) > 0 { // unknown here, or of another service
		for _, it := range m.all {
			if _, has := theirs[it.key]; has {
				look(it, false)
			}
		}
	}
	d.Want = append(d.Want, keys(theirs)...)
	slices.Sort(d.Want)
	slices.SortFunc(d.Rows, func(a, b Row) int { return strings.Compare(a.ID, b.ID) })
	if len(d.Rows)+len(d.Want) > 0 {
		m.send(from, d)
	}
}

// patch takes the rows of an exchange and gives those asked for. Of an ended server
// that was forgotten here nothing is taken up.
func (m *Machine) patch(from string, d Diff) {
	var back Diff
	news := false
	for _, r := range d.Rows {
		it := m.items[r.ID]
		switch {
		case it != nil && !it.old && it.newer(r.server(m.now)):
			back.Rows = append(back.Rows, m.brief(it.Server))
		case it != nil || r.Phase != Ended:
			news = m.merge(r) || news
		}
	}
	if news {
		m.repair = min(m.repair, m.now+soonIn+m.pace()) // others may lack it too
	}
	for _, it := range m.all {
		if len(d.Want) == 0 {
			break
		}
		if _, ok := slices.BinarySearch(d.Want, it.key); ok && !it.old {
			back.Rows = append(back.Rows, m.brief(it.Server))
		}
	}
	if len(back.Rows) > 0 {
		m.send(from, back)
	}
}
