package systemsim

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"asterwell/internal/consensus"
)

// takeover kills the primary of a core whose configuration has so many routes, while a change is on its way, and gives
// what messages of each kind came to, in bytes, until another one has taken a change.
func takeover(t *testing.T, seed uint64, routes int) (kinds map[string]int, took time.Duration) {
	w := newWorld(seed, Sound, nil)
	w.must("start 6 zones 3 core 3")
	g := newGauge(w)
	w.must("servers pay 3; tenant t1 60 60 10")
	w.callers = w.core()
	w.still, w.pad = true, routes*routeSize
	w.must("run 1s; put 1; run 3s; put 2; run 3s")
	p := w.leader()
	w.send(w.write(3), nil, 100*ms)
	w.run(10 * ms)
	g.begin()
	w.change(func() { p.end(); w.hit(p) })
	at := w.now
	w.send(w.write(4), nil, 100*ms)
	for w.acked < 4 && w.now-at < 8*time.Second && w.stats.Broken == "" {
		w.run(50 * ms)
	}
	if w.acked < 4 || w.stats.Broken != "" {
		t.Fatalf("seed %d: %d is acknowledged after %v; %s", seed, w.acked, w.now-at, w.stats.String())
	}
	kinds = map[string]int{}
	for of, n := range g.kinds {
		kinds[of.Name()] += n
	}
	return kinds, w.now - at
}

// TestTakeover: a new primary is not sent texts that it has, nor sends them to who has them.
func TestTakeover(t *testing.T) {
	prepare, promise, state := reflect.TypeFor[consensus.Prepare]().Name(), reflect.TypeFor[consensus.Promise]().Name(), reflect.TypeFor[consensus.InstallState]().Name()
	for _, routes := range []int{30, 10600} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d routes, seed %d", routes, seed+1), func(t *testing.T) {
				t.Parallel()
				kinds, took := takeover(t, seed+1, routes)
				t.Logf("%v, prepare %d, promise %d, copy %d", took, kinds[prepare], kinds[promise], kinds[state])
				if n := kinds[prepare] + kinds[promise] + kinds[state]; n > 20000 {
					t.Errorf("a takeover takes %d bytes", n)
				}
			})
		}
	}
}
