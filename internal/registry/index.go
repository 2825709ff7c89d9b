package registry

import (
	"slices"
	"strings"
	"unique"
)

// service is what is known of a service as a whole: a table is compared with another's by it.
type service struct {
	key    uint32 // of its name, as in Parts
	sum    uint64 // the marks of those not ended
	live   int    // and how many these are
	places []*place
}

// enter makes an item for a server that has none, in its place already: one without a zone would be ranked among all.
func (m *Machine) enter(s Server) *item {
	it := &item{Server: Server{ID: s.ID, Zone: s.Zone, Service: s.Service, Phase: Ended}, beat: m.now, ended: m.now, key: short(s.ID)}
	m.stand(it)
	i, _ := slices.BinarySearchFunc(m.all, s.ID, byID)
	m.items[s.ID], m.all = it, slices.Insert(m.all, i, it)
	return it
}

func byID(it *item, id string) int { return strings.Compare(it.ID, id) }

// set takes a word into an item.
func (m *Machine) set(it *item, s Server) {
	m.unlist(it)
	if s.Zone != it.Zone || s.Service != it.Service {
		m.leaves(it)
		it.Zone, it.Service = s.Zone, s.Service
		m.stand(it)
	}
	s.Zone, s.Service, s.Epoch = it.place.zone, it.place.service, unique.Make(s.Epoch).Value() // of each text one copy
	it.Server, it.mark = s, s.mark()
	m.list(it)
	m.watched(it)
}

// list counts a server that has not ended.
func (m *Machine) list(it *item) {
	if it.Phase == Ended {
		return
	}
	k := it.place.kind
	m.sum ^= it.mark
	k.sum, k.live = k.sum^it.mark, k.live+1
	at := short(it.Addr)
	m.at[at], it.next = it, m.at[at]
}

// unlist is its reverse.
func (m *Machine) unlist(it *item) {
	if it.Phase == Ended {
		return
	}
	k := it.place.kind
	m.sum ^= it.mark
	k.sum, k.live = k.sum^it.mark, k.live-1
	at := short(it.Addr)
	switch o := m.at[at]; {
	case o == it && it.next == nil:
		delete(m.at, at)
	case o == it:
		m.at[at] = it.next
	default:
		for o.next != it {
			o = o.next
		}
		o.next = it.next
	}
	it.next = nil
}

// stand puts an item into its place.
func (m *Machine) stand(it *item) {
	at := spot{it.Zone, it.Service}
	p := m.homes[at]
	if p == nil {
		at = spot{unique.Make(it.Zone).Value(), unique.Make(it.Service).Value()}
		k := m.kinds[short(at.service)]
		if k == nil {
			k = &service{key: short(at.service)}
			m.kinds[k.key] = k
		}
		p = &place{spot: at, kind: k}
		m.rank(p)
		m.homes[at], k.places = p, append(k.places, p)
	}
	it.place, it.slot, p.items = p, int32(len(p.items)), append(p.items, it)
}

// leaves takes it out, and the place away with the last.
func (m *Machine) leaves(it *item) {
	p := it.place
	end := len(p.items) - 1
	last := p.items[end]
	p.items[it.slot], last.slot, p.items[end] = last, it.slot, nil
	p.items = p.items[:end]
	if end > 0 {
		return
	}
	delete(m.homes, p.spot)
	p.kind.places = slices.DeleteFunc(p.kind.places, func(o *place) bool { return o == p })
	if len(p.kind.places) == 0 {
		delete(m.kinds, p.kind.key)
	}
}

// forget takes an item out of everything but the list of all.
func (m *Machine) forget(it *item) {
	m.unlist(it)
	m.leaves(it)
	it.due = 0
	delete(m.items, it.ID)
}

func (m *Machine) remove(it *item) {
	m.forget(it)
	i, _ := slices.BinarySearchFunc(m.all, it.ID, byID)
	m.all = slices.Delete(m.all, i, i+1)
}

// mine tells whether a server is at home here.
func (m *Machine) mine(it *item) bool { return it.place.home == m.self }
