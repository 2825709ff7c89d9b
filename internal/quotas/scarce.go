package quotas

import (
	"slices"

	"asterwell/internal/fsm"
)

// scarceTenants holds the tenants near their limits whose burst is small for the number of gateways: one
// unit passed at each gateway without a read would be too much. Gateways are told of them unrequested, with
// the answer to any read.
type scarceTenants struct {
	names       []string // sorted: messages must not depend on the order of a map
	nearLimitAt map[string]fsm.Time
	sentAt      map[string]fsm.Time // by gateway
}

func (s *scarceTenants) note(now fsm.Time, tenant string) {
	if s.nearLimitAt == nil {
		s.nearLimitAt, s.sentAt = map[string]fsm.Time{}, map[string]fsm.Time{}
	}
	if i, known := slices.BinarySearch(s.names, tenant); !known {
		s.names = slices.Insert(s.names, i, tenant)
	}
	s.nearLimitAt[tenant] = now
}

// due returns these tenants for a gateway, at most once in scarceGap.
func (s *scarceTenants) due(now fsm.Time, gateway string) []string {
	s.names = slices.DeleteFunc(s.names, func(t string) bool {
		over := now-s.nearLimitAt[t] >= nearLimitWindow
		if over {
			delete(s.nearLimitAt, t)
		}
		return over
	})
	if len(s.names) == 0 {
		clear(s.sentAt)
		return nil
	}
	if at, ok := s.sentAt[gateway]; ok && now-at < scarceGap {
		return nil
	}
	s.sentAt[gateway] = now
	return s.names
}

// unrequestedTotals returns the totals of scarce tenants that an add doesn't name.
func (c *Counter) unrequestedTotals(now fsm.Time, from string, a Add) (out []Total) {
	for _, tenant := range c.scarce.due(now, from) {
		usage := c.tenants[tenant]
		if usage == nil || usage.periodOf(c.highestPeriod) == nil || slices.ContainsFunc(a.Items, func(item Item) bool { return item.Tenant == tenant }) {
			continue
		}
		usage.drain(now, c.listeningSince, Item{Interval: usage.interval})
		period, incarnations := usage.periodOf(c.highestPeriod), c.incarnations.observe(now, from, a.Incarnation)
		own, _ := period.sums.get(incarnations[len(incarnations)-1].number)
		out = append(out, Total{Tenant: tenant, Period: c.highestPeriod, Others: period.others(incarnations), Own: own,
			Level: uint64(usage.level * milliUnits), LevelKnown: now-c.listeningSince >= listenTime})
	}
	return out
}
