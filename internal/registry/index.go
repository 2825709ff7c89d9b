package registry

import (
	"slices"
	"strings"
	"unique"
)

// service is what is known of a service as a whole: a table is compared with another's by it.
type serviceInfo struct {
	nameHash  uint32 // of its name, as in Parts
	digest    uint64 // the marks of those not ended
	liveCount int    // and how many these are
	groups    []*serverGroup
}

// enter makes an item for a server that has none, in its place already: one without a zone would be ranked among all.
func (m *Machine) addItem(s Server) *item {
	it := &item{Server: Server{ID: s.ID, Zone: s.Zone, Service: s.Service, Phase: Ended}, lastBeat: m.now, phaseSince: m.now, idHash: hash32(s.ID)}
	m.joinGroup(it)
	i, _ := slices.BinarySearchFunc(m.sorted, s.ID, compareID)
	m.items[s.ID], m.sorted = it, slices.Insert(m.sorted, i, it)
	return it
}

func compareID(it *item, id string) int { return strings.Compare(it.ID, id) }

// set takes a word into an item.
func (m *Machine) setServer(it *item, s Server) {
	m.removeFromIndexes(it)
	if s.Zone != it.Zone || s.Service != it.Service {
		m.leaveGroup(it)
		it.Zone, it.Service = s.Zone, s.Service
		m.joinGroup(it)
	}
	s.Zone, s.Service, s.Epoch = it.group.zone, it.group.service, unique.Make(s.Epoch).Value() // of each text one copy
	it.Server, it.digest = s, s.digest()
	m.addToIndexes(it)
	m.scheduleCheck(it)
}

// list counts a server that has not ended.
func (m *Machine) addToIndexes(it *item) {
	if it.Phase == Ended {
		return
	}
	k := it.group.serviceInfo
	m.tableDigest ^= it.digest
	k.digest, k.liveCount = k.digest^it.digest, k.liveCount+1
	at := hash32(it.Addr)
	m.byAddr[at], it.nextAtAddr = it, m.byAddr[at]
}

// unlist is its reverse.
func (m *Machine) removeFromIndexes(it *item) {
	if it.Phase == Ended {
		return
	}
	k := it.group.serviceInfo
	m.tableDigest ^= it.digest
	k.digest, k.liveCount = k.digest^it.digest, k.liveCount-1
	at := hash32(it.Addr)
	switch o := m.byAddr[at]; {
	case o == it && it.nextAtAddr == nil:
		delete(m.byAddr, at)
	case o == it:
		m.byAddr[at] = it.nextAtAddr
	default:
		for o.nextAtAddr != it {
			o = o.nextAtAddr
		}
		o.nextAtAddr = it.nextAtAddr
	}
	it.nextAtAddr = nil
}

// stand puts an item into its place.
func (m *Machine) joinGroup(it *item) {
	at := serviceZone{it.Zone, it.Service}
	p := m.groups[at]
	if p == nil {
		at = serviceZone{unique.Make(it.Zone).Value(), unique.Make(it.Service).Value()}
		k := m.services[hash32(at.service)]
		if k == nil {
			k = &serviceInfo{nameHash: hash32(at.service)}
			m.services[k.nameHash] = k
		}
		p = &serverGroup{serviceZone: at, serviceInfo: k}
		m.chooseHome(p)
		m.groups[at], k.groups = p, append(k.groups, p)
	}
	it.group, it.groupIndex, p.servers = p, int32(len(p.servers)), append(p.servers, it)
}

// leaves takes it out, and the place away with the last.
func (m *Machine) leaveGroup(it *item) {
	p := it.group
	end := len(p.servers) - 1
	last := p.servers[end]
	p.servers[it.groupIndex], last.groupIndex, p.servers[end] = last, it.groupIndex, nil
	p.servers = p.servers[:end]
	if end > 0 {
		return
	}
	delete(m.groups, p.serviceZone)
	p.serviceInfo.groups = slices.DeleteFunc(p.serviceInfo.groups, func(o *serverGroup) bool { return o == p })
	if len(p.serviceInfo.groups) == 0 {
		delete(m.services, p.serviceInfo.nameHash)
	}
}

// forget takes an item out of everything but the list of all.
func (m *Machine) detach(it *item) {
	m.removeFromIndexes(it)
	m.leaveGroup(it)
	it.checkAt = 0
	delete(m.items, it.ID)
}

func (m *Machine) removeItem(it *item) {
	m.detach(it)
	i, _ := slices.BinarySearchFunc(m.sorted, it.ID, compareID)
	m.sorted = slices.Delete(m.sorted, i, i+1)
}

// mine tells whether a server is at home here.
func (m *Machine) isHome(it *item) bool { return it.group.home == m.self }
