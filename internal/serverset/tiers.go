package serverset

import (
	"maps"
	"slices"
	"time"

	"asterwell/choice"
)

// isUsable reports whether no source that named a server has withdrawn it.
func (m *Set) isUsable(s *server) bool {
	if s.gone {
		return false
	}
	if s.srvOnly {
		return !m.options.SRVOnlyWhileListSilent || !m.listIsHeard()
	}
	return s.listEntry.State == choice.Up && m.listedByAddr[s.addr] == s &&
		(len(s.targets) > 0 || !s.namedBySRV || m.options.ListOverridesSRV)
}

// priorityOf returns the best priority of a server.
func (m *Set) priorityOf(s *server) uint16 {
	if s.srvOnly {
		return s.target.Priority
	}
	best, found := m.options.ListPriority, false
	for t := range s.targets {
		if p := t.merged.Priority; !found || p < best {
			best, found = p, true
		}
	}
	return best
}

// updateTier puts a server into its tier, and counts whether it is alive.
func (m *Set) updateTier(s *server) {
	priority := m.priorityOf(s)
	counted := !s.gone && (s.srvOnly && m.isUsable(s) || !s.srvOnly && (len(s.targets) > 0 || !s.namedBySRV || m.options.ListOverridesSRV))
	if s.tier != nil && (!counted || s.tier.priority != priority) {
		m.leaveTier(s)
	}
	if counted && s.tier == nil {
		t := m.tiers[priority]
		if t == nil {
			t = &tier{priority: priority, servers: map[*server]bool{}}
			m.tiers[priority] = t
		}
		t.size++
		t.servers[s] = true
		s.tier = t
	}
	if s.tier == nil {
		return
	}
	if live := m.isUsable(s) && !s.dead; live != s.live {
		if s.live = live; live {
			s.tier.live++
		} else {
			s.tier.live--
		}
	}
}

func (m *Set) leaveTier(s *server) {
	t := s.tier
	if t == nil {
		return
	}
	t.size--
	if s.live {
		t.live--
	}
	delete(t.servers, s)
	if s.tier, s.live = nil, false; t.size == 0 {
		delete(m.tiers, t.priority)
	}
}

// lastNeededTier returns the first tier by which the given share of the first tier's size is
// alive.
func (m *Set) lastNeededTier(order []uint16, share float64) uint16 {
	needed, live := share*float64(m.tiers[order[0]].size), 0
	for _, p := range order {
		if live += m.tiers[p].live; float64(live) >= needed-1e-9 {
			return p
		}
	}
	return order[len(order)-1]
}

// offerTiers decides which tiers are offered.
func (m *Set) offerTiers(now time.Duration) {
	before, offeredBefore := m.lastOfferedPriority, m.tiersOffered
	if len(m.tiers) == 0 {
		m.tiersOffered, m.tierLeaveAt = false, 0
	} else {
		order := slices.Sorted(maps.Keys(m.tiers))
		join := m.lastNeededTier(order, m.options.TierJoinBelow)
		stay := max(join, m.lastNeededTier(order, max(m.options.TierLeaveAbove, m.options.TierJoinBelow)))
		switch {
		case !m.tiersOffered || join > m.lastOfferedPriority:
			if m.tiersOffered {
				m.stats.Joins++
			}
			m.tiersOffered, m.lastOfferedPriority, m.tierLeaveAt = true, join, 0
		case m.countSurplusTiers(order, stay) == 0:
			m.tierLeaveAt = 0
			m.lastOfferedPriority = max(stay, order[0])
		case m.tierLeaveAt == 0:
			m.tierLeaveAt = now + m.options.TierLeaveHold
			m.nextWake = min(m.nextWake, m.tierLeaveAt)
		case now >= m.tierLeaveAt:
			m.lastOfferedPriority, m.tierLeaveAt = stay, 0
			m.stats.Leaves++
		}
	}
	if m.tiersOffered == offeredBefore && m.lastOfferedPriority == before {
		return
	}
	lo, hi := min(m.lastOfferedPriority, before), max(m.lastOfferedPriority, before)
	for p, t := range m.tiers {
		if m.tiersOffered != offeredBefore || p > lo && p <= hi {
			for s := range t.servers {
				if p > m.lastOfferedPriority { // without requests its health is not known
					s.dead, s.failures, s.refusals = false, 0, 0
					m.updateTier(s)
				}
				m.dirtyServers[s] = true
			}
		}
	}
}

// countSurplusTiers returns the number of tiers that are offered but not needed.
func (m *Set) countSurplusTiers(order []uint16, stay uint16) (n int) {
	for _, p := range order {
		if p > stay && p <= m.lastOfferedPriority {
			n++
		}
	}
	return n
}
