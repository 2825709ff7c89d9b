package quotas

import (
	"slices"

	"asterwell/internal/fsm"
)

// Sums of 490 gateways in 12,000 tenants' names are millions. So each life of a gateway has a number here, and a name
// has four bytes for whose a sum is.

// incarnation is a life that a counter has heard.
type incarnation struct {
	id      uint64
	number  uint32
	heardAt fsm.Time // when it was last heard
}

// incarnations are those of each gateway, the one that was heard last at the end.
type incarnations struct {
	byGateway  map[string][]incarnation
	lastNumber uint32
}

// incarnationRetention is longer than any name is kept: no sum has the number of who was not heard for so long.
const incarnationRetention = 4 * periodRetention

// observe is a gateway's lives, of which this one is the last.
func (l *incarnations) observe(now fsm.Time, gateway string, id uint64) []incarnation {
	if l.byGateway == nil {
		l.byGateway = map[string][]incarnation{}
	}
	who := l.byGateway[gateway]
	i := slices.IndexFunc(who, func(v incarnation) bool { return v.id == id })
	switch {
	case i < 0:
		l.lastNumber++
		who = append(who, incarnation{id: id, number: l.lastNumber})
	case i < len(who)-1:
		v := who[i]
		who = append(slices.Delete(who, i, i+1), v)
	}
	who[len(who)-1].heardAt = now
	l.byGateway[gateway] = who
	return who
}

// sweep forgets those that were not heard for long.
func (l *incarnations) sweep(now fsm.Time) {
	for gateway, who := range l.byGateway {
		if who = slices.DeleteFunc(who, func(v incarnation) bool { return now-v.heardAt > incarnationRetention }); len(who) == 0 {
			delete(l.byGateway, gateway)
		} else {
			l.byGateway[gateway] = who
		}
	}
}
