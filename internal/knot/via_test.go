package knot

import (
	"testing"
	"time"

	"asterwell/internal/plane"
)

// Ways round are looked for again and again, but no more often than the links bear; an
// answer that comes straight ends a way, not the pause.
func TestDetour(t *testing.T) {
	var d detour
	looks := 0
	for now := plane.Time(time.Hour); now < time.Hour+time.Second; now += 20 * time.Millisecond {
		if d.may(now) {
			looks++
		}
		d.straight()
	}
	if looks < 8 || looks > 11 {
		t.Errorf("%d looks in a second", looks)
	}
}
