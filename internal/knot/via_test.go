package knot

import (
	"testing"
	"time"

	"asterwell/internal/plane"
)

// Ways round are looked for again and again, but no more often than the links bear; an
// answer that comes straight ends a way, not the pause. Of many gateways each looks more seldom: all of
// them together burden a holder that can't keep up with a bounded number of ways.
func TestDetour(t *testing.T) {
	for gateways, most := range map[int]int{1: 110, 11: 110, 40: 110, 91: 50, 490: 10} {
		var d detour
		looks := 0
		for now := plane.Time(time.Hour); now < time.Hour+10*time.Second; now += 20 * time.Millisecond {
			if d.may(now, gateways) {
				looks++
			}
			d.straight()
		}
		if looks < most*3/4 || looks > most || looks*gateways > 10*450 {
			t.Errorf("%d gateways: %d looks of each in 10 s", gateways, looks)
		}
	}
}
