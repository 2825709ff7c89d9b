package quotas

import (
	"slices"

	"asterwell/internal/fsm"
)

// Sums of 490 gateways in 12,000 tenants' names are millions. So each life of a gateway has a number here, and a name
// has four bytes for whose a sum is.

// one is a life that a counter has heard.
type one struct {
	id     uint64
	number uint32
	at     fsm.Time // when it was last heard
}

// lives are those of each gateway, the one that was heard last at the end.
type lives struct {
	all  map[string][]one
	last uint32
}

// livesFor is longer than any name is kept: no sum has the number of who was not heard for so long.
const livesFor = 4 * nameLife

// of is a gateway's lives, of which this one is the last.
func (l *lives) of(now fsm.Time, gateway string, id uint64) []one {
	if l.all == nil {
		l.all = map[string][]one{}
	}
	who := l.all[gateway]
	i := slices.IndexFunc(who, func(v one) bool { return v.id == id })
	switch {
	case i < 0:
		l.last++
		who = append(who, one{id: id, number: l.last})
	case i < len(who)-1:
		v := who[i]
		who = append(slices.Delete(who, i, i+1), v)
	}
	who[len(who)-1].at = now
	l.all[gateway] = who
	return who
}

// sweep forgets those that were not heard for long.
func (l *lives) sweep(now fsm.Time) {
	for gateway, who := range l.all {
		if who = slices.DeleteFunc(who, func(v one) bool { return now-v.at > livesFor }); len(who) == 0 {
			delete(l.all, gateway)
		} else {
			l.all[gateway] = who
		}
	}
}
