package serverset

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"asterwell/choice"
)

// ApplySRV applies a full answer for one SRV name. none: there is authoritatively no service,
// rather than an answer without targets.
func (m *Set) ApplySRV(now time.Duration, name string, targets []Target, noService bool) {
	src := m.sources[name]
	if src == nil {
		src = &source{}
		m.sources[name] = src
	}
	firstAnswer := !src.answered
	src.answered, src.lost, src.staleSince = true, false, never
	byKey := make(map[targetKey]Target, len(targets))
	for _, t := range targets {
		key := targetKey{strings.ToLower(t.Name), t.Port}
		if old, ok := byKey[key]; ok && old.Priority <= t.Priority {
			continue
		}
		byKey[key] = t
	}
	m.replaceTargets(now, name, src, byKey, firstAnswer, noService)
}

// DropSource forgets a name that is no longer queried. Its targets drain; servers of the list
// stay.
func (m *Set) DropSource(now time.Duration, name string) {
	if src := m.sources[name]; src != nil {
		delete(m.sources, name)
		m.replaceTargets(now, name, src, nil, false, true)
	}
}

// replaceTargets replaces the targets of a source.
func (m *Set) replaceTargets(now time.Duration, name string, src *source, targets map[targetKey]Target, firstAnswer, noService bool) {
	var changed []targetKey
	for key, old := range src.targets {
		if t, ok := targets[key]; !ok || !sameTarget(t, old) {
			changed = append(changed, key)
		}
	}
	for key := range targets {
		if _, ok := src.targets[key]; !ok {
			changed = append(changed, key)
		}
	}
	slices.SortFunc(changed, targetKey.compare)
	src.targets = targets
	for _, key := range changed {
		t := m.targets[key]
		if t == nil {
			t = &target{key: key, bySource: map[string]Target{}, fromFirstAnswer: firstAnswer}
			m.targets[key] = t
		}
		if said, ok := targets[key]; ok {
			t.bySource[name] = said
		} else {
			delete(t.bySource, name)
		}
		m.mergeTarget(now, t, noService)
	}
	m.applyDirty(now)
}

func (k targetKey) compare(o targetKey) int {
	return cmp.Or(strings.Compare(k.name, o.name), cmp.Compare(k.port, o.port))
}

func sameTarget(a, b Target) bool {
	return a.Priority == b.Priority && a.Weight == b.Weight && a.Zone == b.Zone && slices.Equal(a.Addrs, b.Addrs)
}

// SourceStale records that a name's answer has expired and can't be renewed.
func (m *Set) SourceStale(now time.Duration, name string) {
	src := m.sources[name]
	if src == nil {
		src = &source{staleSince: never}
		m.sources[name] = src
	}
	src.staleSince = min(src.staleSince, now)
}

// mergeTarget merges what the sources report of a target: its best priority and all addresses.
func (m *Set) mergeTarget(now time.Duration, t *target, noService bool) {
	previous := t.merged.Addrs
	t.merged = Target{Name: t.key.name, Port: t.key.port}
	for i, name := range slices.Sorted(maps.Keys(t.bySource)) {
		s := t.bySource[name]
		if i == 0 || s.Priority < t.merged.Priority {
			t.merged.Priority, t.merged.Weight, t.merged.Zone = s.Priority, s.Weight, s.Zone
		}
		for _, a := range s.Addrs {
			if !slices.Contains(t.merged.Addrs, a) {
				t.merged.Addrs = append(t.merged.Addrs, a)
			}
		}
	}
	for _, a := range previous {
		m.markTargetsDirty(a)
		if !slices.Contains(t.merged.Addrs, a) {
			m.targetsByAddr[a] = slices.DeleteFunc(m.targetsByAddr[a], func(x *target) bool { return x == t })
			if len(m.targetsByAddr[a]) == 0 {
				delete(m.targetsByAddr, a)
				if _, ok := m.tombstones[a]; ok {
					m.setTombstone(now, a)
				}
			}
		}
	}
	for _, a := range t.merged.Addrs {
		if !slices.Contains(previous, a) {
			m.targetsByAddr[a] = append(m.targetsByAddr[a], t)
			if _, ok := m.tombstones[a]; ok {
				m.tombstones[a] = never
			}
		}
		m.markTargetsDirty(a)
	}
	m.dirtyTargets[t] = true
	if len(t.bySource) > 0 {
		return
	}
	for _, s := range t.servers {
		if noService && !s.srvOnly {
			s.namedBySRV = false
		}
		m.detach(s, t)
	}
	t.servers = nil
	delete(m.dirtyTargets, t)
	delete(m.targets, t.key)
}

// detach removes the link between a server and a target.
func (m *Set) detach(s *server, t *target) {
	delete(s.targets, t)
	if s.srvOnly {
		if s.gone = true; !s.nameTaken {
			delete(m.srvIDs, s.name)
		}
	}
	m.dirtyServers[s] = true
}

// applyDirty places the changed targets, and decides again on the affected servers.
func (m *Set) applyDirty(now time.Duration) {
	for len(m.dirtyTargets) > 0 {
		targets := slices.SortedFunc(maps.Keys(m.dirtyTargets), func(a, b *target) int { return a.key.compare(b.key) })
		clear(m.dirtyTargets)
		for _, t := range targets {
			m.placeTarget(now, t)
		}
	}
	for s := range m.dirtyServers {
		m.updateTier(s)
	}
	m.offerTiers(now)
}

// placeTarget determines the servers that a target stands for.
func (m *Set) placeTarget(now time.Duration, t *target) {
	var claimed []*server
	blocked, duplicate := false, false
	for _, other := range m.linkedTargets(t.merged.Addrs...) {
		duplicate = duplicate || other.key.compare(t.key) < 0
		for _, a := range other.merged.Addrs {
			if s := m.listedByAddr[a]; s != nil && !slices.Contains(claimed, s) {
				claimed = append(claimed, s)
			}
			if _, ok := m.tombstones[a]; ok {
				blocked = true
			}
		}
	}
	switch {
	case len(claimed) > 0:
		m.attach(t, claimed)
	case blocked:
		m.stats.Blocked++
		t.fromFirstAnswer = false          // if it ever comes back, it is a new server
		for _, a := range t.merged.Addrs { // they all lead to the removed server
			if _, ok := m.tombstones[a]; !ok {
				m.tombstones[a] = never
				m.markTargetsDirty(a)
			}
		}
		for _, s := range t.servers {
			s.removedByList = true
		}
		m.attach(t, nil)
	case duplicate || len(t.merged.Addrs) == 0:
		if duplicate {
			m.stats.Duplicates++
		}
		m.attach(t, nil)
	default:
		m.attach(t, []*server{m.srvOnlyServer(now, t)})
	}
}

// srvOnlyServer returns the server of a target that only SRV names.
func (m *Set) srvOnlyServer(now time.Duration, t *target) *server {
	for _, s := range t.servers {
		if !s.srvOnly {
			continue
		}
		if slices.Contains(t.merged.Addrs, s.addr) {
			s.target = t.merged
			return s
		}
		if slices.ContainsFunc(s.target.Addrs, func(a string) bool { return slices.Contains(t.merged.Addrs, a) }) {
			s.addr, s.target = t.merged.Addrs[0], t.merged // another address of the same server
			m.stats.Moved++
			return s
		}
		delete(m.srvIDs, s.name) // it has moved: another server gets its name
		s.nameTaken, t.fromFirstAnswer = true, false
	}
	s := &server{srvOnly: true, targets: map[*target]bool{}, addr: t.merged.Addrs[0], target: t.merged, coreState: choice.Down}
	if !t.fromFirstAnswer {
		s.startedAt = now
	}
	t.fromFirstAnswer = false // if it comes back later, it is a new server
	s.name = m.srvID(t.key)
	m.srvIDs[s.name] = t.key
	m.assignNumber(s)
	return s
}

// srvID names a server that only SRV names: equally at all gateways and after restarts. Of two
// targets with the same hash, the one that comes later gets its name and port appended.
func (m *Set) srvID(k targetKey) string {
	text := fmt.Sprintf("%s:%d", k.name, k.port)
	id := fmt.Sprintf("srv-%016x", m.hash(text))
	if other, ok := m.srvIDs[id]; ok && other != k {
		id += "-" + text
	}
	return id
}

// attach sets the servers that a target stands for.
func (m *Set) attach(t *target, servers []*server) {
	for _, s := range t.servers {
		if !slices.Contains(servers, s) {
			m.detach(s, t)
		}
	}
	for _, s := range servers {
		s.targets[t], s.namedBySRV = true, true
		m.dirtyServers[s] = true
	}
	t.servers = servers
}
