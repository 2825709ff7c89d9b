package registry

import (
	"slices"
	"strings"
	"unique"
)

// serviceInfo is a service with all its groups. Tables are compared service by service.
type serviceInfo struct {
	nameHash  uint32 // hash of the name, as in ServiceDigests
	digest    uint64 // XOR of the digests of the servers that have not ended
	liveCount int    // number of these servers
	groups    []*serverGroup
}

// addItem adds an item for an unknown server, with its zone and service already set, as a home is
// chosen among all processes where the zone is missing.
func (m *Machine) addItem(s Server) *item {
	it := &item{Server: Server{ID: s.ID, Zone: s.Zone, Service: s.Service, Phase: Ended}, lastBeat: m.now, phaseSince: m.now, idHash: hash32(s.ID)}
	m.joinGroup(it)
	i, _ := slices.BinarySearchFunc(m.sorted, s.ID, compareID)
	m.items[s.ID], m.sorted = it, slices.Insert(m.sorted, i, it)
	return it
}

func compareID(it *item, id string) int { return strings.Compare(it.ID, id) }

// setServer replaces an item's server.
func (m *Machine) setServer(it *item, s Server) {
	m.removeFromIndexes(it)
	if s.Zone != it.Zone || s.Service != it.Service {
		m.leaveGroup(it)
		it.Zone, it.Service = s.Zone, s.Service
		m.joinGroup(it)
	}
	s.Zone, s.Service, s.Epoch = it.group.zone, it.group.service, unique.Make(s.Epoch).Value() // one copy of equal strings
	it.Server, it.digest = s, s.digest()
	m.addToIndexes(it)
	m.scheduleCheck(it)
}

// addToIndexes adds a server that has not ended to the digests and the address index.
func (m *Machine) addToIndexes(it *item) {
	if it.Phase == Ended {
		return
	}
	info := it.group.serviceInfo
	m.tableDigest ^= it.digest
	info.digest, info.liveCount = info.digest^it.digest, info.liveCount+1
	hash := hash32(it.Addr)
	m.byAddr[hash], it.nextAtAddr = it, m.byAddr[hash]
}

// removeFromIndexes undoes addToIndexes.
func (m *Machine) removeFromIndexes(it *item) {
	if it.Phase == Ended {
		return
	}
	info := it.group.serviceInfo
	m.tableDigest ^= it.digest
	info.digest, info.liveCount = info.digest^it.digest, info.liveCount-1
	hash := hash32(it.Addr)
	switch o := m.byAddr[hash]; {
	case o == it && it.nextAtAddr == nil:
		delete(m.byAddr, hash)
	case o == it:
		m.byAddr[hash] = it.nextAtAddr
	default:
		for o.nextAtAddr != it {
			o = o.nextAtAddr
		}
		o.nextAtAddr = it.nextAtAddr
	}
	it.nextAtAddr = nil
}

// joinGroup adds an item to its group.
func (m *Machine) joinGroup(it *item) {
	key := serviceZone{it.Zone, it.Service}
	g := m.groups[key]
	if g == nil {
		key = serviceZone{unique.Make(it.Zone).Value(), unique.Make(it.Service).Value()}
		info := m.services[hash32(key.service)]
		if info == nil {
			info = &serviceInfo{nameHash: hash32(key.service)}
			m.services[info.nameHash] = info
		}
		g = &serverGroup{serviceZone: key, serviceInfo: info}
		m.chooseHome(g)
		m.groups[key], info.groups = g, append(info.groups, g)
	}
	it.group, it.groupIndex, g.servers = g, int32(len(g.servers)), append(g.servers, it)
}

// leaveGroup removes an item from its group, and the group with its last item.
func (m *Machine) leaveGroup(it *item) {
	g := it.group
	end := len(g.servers) - 1
	last := g.servers[end]
	g.servers[it.groupIndex], last.groupIndex, g.servers[end] = last, it.groupIndex, nil
	g.servers = g.servers[:end]
	if end > 0 {
		return
	}
	delete(m.groups, g.serviceZone)
	g.serviceInfo.groups = slices.DeleteFunc(g.serviceInfo.groups, func(o *serverGroup) bool { return o == g })
	if len(g.serviceInfo.groups) == 0 {
		delete(m.services, g.serviceInfo.nameHash)
	}
}

// detach removes an item from everything but the sorted list.
func (m *Machine) detach(it *item) {
	m.removeFromIndexes(it)
	m.leaveGroup(it)
	it.checkAt = 0
	delete(m.items, it.ID)
}

// removeItem removes an item.
func (m *Machine) removeItem(it *item) {
	m.detach(it)
	i, _ := slices.BinarySearchFunc(m.sorted, it.ID, compareID)
	m.sorted = slices.Delete(m.sorted, i, i+1)
}

// isHome reports whether this process is a server's home.
func (m *Machine) isHome(it *item) bool { return it.group.home == m.self }
