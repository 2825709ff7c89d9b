package quotas

import (
	"slices"

	"asterwell/internal/fsm"
)

// crowds is the tenants that are near their limits and small for so many gateways: one
// unit at each gateway that hasn't read would be too much. Who asks for others is told
// of these too.
type crowds struct {
	names []string // sorted: messages must not depend on a map's order
	at    map[string]fsm.Time
	told  map[string]fsm.Time // to gateways
}

func (c *crowds) note(now fsm.Time, tenant string) {
	if c.at == nil {
		c.at, c.told = map[string]fsm.Time{}, map[string]fsm.Time{}
	}
	if i, known := slices.BinarySearch(c.names, tenant); !known {
		c.names = slices.Insert(c.names, i, tenant)
	}
	c.at[tenant] = now
}

// due lists them for a gateway, each so often.
func (c *crowds) due(now fsm.Time, gateway string) []string {
	c.names = slices.DeleteFunc(c.names, func(t string) bool {
		over := now-c.at[t] >= nearGap
		if over {
			delete(c.at, t)
		}
		return over
	})
	if len(c.names) == 0 {
		clear(c.told)
		return nil
	}
	if at, ok := c.told[gateway]; ok && now-at < crowdGap {
		return nil
	}
	c.told[gateway] = now
	return c.names
}

// unasked gives the sums of tenants that an add doesn't name.
func (c *Counter) unasked(now fsm.Time, from string, a Add) (out []Total) {
	for _, tenant := range c.crowds.due(now, from) {
		l := c.ledgers[tenant]
		if l == nil || l.name(c.high) == nil || slices.ContainsFunc(a.Items, func(it Item) bool { return it.Tenant == tenant }) {
			continue
		}
		l.refresh(now, c.since, Item{Interval: l.gap})
		n, who := l.name(c.high), c.lives.of(now, from, a.Incarnation)
		mine, _ := n.sums.of(who[len(who)-1].number)
		out = append(out, Total{Tenant: tenant, Period: c.high, Others: n.others(who), Own: mine,
			Level: uint64(l.level * milli), LevelKnown: now-c.since >= listenGap})
	}
	return out
}
