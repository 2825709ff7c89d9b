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
func (in *incarnations) observe(now fsm.Time, gateway string, id uint64) []incarnation {
	if in.byGateway == nil {
		in.byGateway = map[string][]incarnation{}
	}
	all := in.byGateway[gateway]
	i := slices.IndexFunc(all, func(in incarnation) bool { return in.id == id })
	switch {
	case i < 0:
		in.lastNumber++
		all = append(all, incarnation{id: id, number: in.lastNumber})
	case i < len(all)-1:
		in := all[i]
		all = append(slices.Delete(all, i, i+1), in)
	}
	all[len(all)-1].heardAt = now
	in.byGateway[gateway] = all
	return all
}

// sweep removes incarnations that have not been heard for incarnationRetention.
func (in *incarnations) sweep(now fsm.Time) {
	for gateway, all := range in.byGateway {
		if all = slices.DeleteFunc(all, func(in incarnation) bool { return now-in.heardAt > incarnationRetention }); len(all) == 0 {
			delete(in.byGateway, gateway)
		} else {
			in.byGateway[gateway] = all
		}
	}
}
