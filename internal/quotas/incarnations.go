package quotas

import (
	"slices"

	"asterwell/internal/fsm"
)

// 490 gateways with 12,000 tenants have millions of sums. So each incarnation of a gateway is numbered, and
// the key of a sum takes four bytes.

// incarnation is one incarnation of a gateway that a counter has heard.
type incarnation struct {
	id      uint64
	number  uint32
	heardAt fsm.Time // when it was last heard
}

// incarnations holds those of each gateway; the one that was heard last is at the end.
type incarnations struct {
	byGateway  map[string][]incarnation
	lastNumber uint32
}

// incarnationRetention is longer than any period is kept, so no sum has the number of a forgotten
// incarnation.
const incarnationRetention = 4 * periodRetention

// observe records an incarnation as the gateway's latest, and returns all of the gateway's.
func (l *incarnations) observe(now fsm.Time, gateway string, id uint64) []incarnation {
	if l.byGateway == nil {
		l.byGateway = map[string][]incarnation{}
	}
	all := l.byGateway[gateway]
	i := slices.IndexFunc(all, func(v incarnation) bool { return v.id == id })
	switch {
	case i < 0:
		l.lastNumber++
		all = append(all, incarnation{id: id, number: l.lastNumber})
	case i < len(all)-1:
		v := all[i]
		all = append(slices.Delete(all, i, i+1), v)
	}
	all[len(all)-1].heardAt = now
	l.byGateway[gateway] = all
	return all
}

// sweep removes incarnations that have not been heard for incarnationRetention.
func (l *incarnations) sweep(now fsm.Time) {
	for gateway, all := range l.byGateway {
		if all = slices.DeleteFunc(all, func(v incarnation) bool { return now-v.heardAt > incarnationRetention }); len(all) == 0 {
			delete(l.byGateway, gateway)
		} else {
			l.byGateway[gateway] = all
		}
	}
}
