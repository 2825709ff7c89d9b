package quotas

import (
	"slices"

	"asterwell/internal/fsm"
)

// scarceTenants is the tenants that are near their limits and small for so many gateways: one
// unit at each gateway that hasn't read would be too much. Who asks for others is told
// of these too.
type scarceTenants struct {
	names       []string // sorted: messages must not depend on a map's order
	nearLimitAt map[string]fsm.Time
	sentAt      map[string]fsm.Time // to gateways
}

func (c *scarceTenants) note(now fsm.Time, tenant string) {
	if c.nearLimitAt == nil {
		c.nearLimitAt, c.sentAt = map[string]fsm.Time{}, map[string]fsm.Time{}
	}
	if i, known := slices.BinarySearch(c.names, tenant); !known {
		c.names = slices.Insert(c.names, i, tenant)
	}
	c.nearLimitAt[tenant] = now
}

// due lists them for a gateway, each so often.
func (c *scarceTenants) due(now fsm.Time, gateway string) []string {
	c.names = slices.DeleteFunc(c.names, func(t string) bool {
		over := now-c.nearLimitAt[t] >= nearLimitWindow
		if over {
			delete(c.nearLimitAt, t)
		}
		return over
	})
	if len(c.names) == 0 {
		clear(c.sentAt)
		return nil
	}
	if at, ok := c.sentAt[gateway]; ok && now-at < scarceGap {
		return nil
	}
	c.sentAt[gateway] = now
	return c.names
}

// unrequestedTotals gives the sums of tenants that an add doesn't name.
func (c *Counter) unrequestedTotals(now fsm.Time, from string, a Add) (out []Total) {
	for _, tenant := range c.scarce.due(now, from) {
		l := c.tenants[tenant]
		if l == nil || l.periodOf(c.highestPeriod) == nil || slices.ContainsFunc(a.Items, func(it Item) bool { return it.Tenant == tenant }) {
			continue
		}
		l.drain(now, c.listeningSince, Item{Interval: l.interval})
		n, incarnations := l.periodOf(c.highestPeriod), c.incarnations.observe(now, from, a.Incarnation)
		mine, _ := n.sums.get(incarnations[len(incarnations)-1].number)
		out = append(out, Total{Tenant: tenant, Period: c.highestPeriod, Others: n.others(incarnations), Own: mine,
			Level: uint64(l.level * milliUnits), LevelKnown: now-c.listeningSince >= listenTime})
	}
	return out
}
