package consensus

import (
	"fmt"
	"testing"
	"time"
)

// TestEveryMoment lets each of several faults befall each member at every fourth event of puts
// that meet a takeover, a readmission or a change of writers. What a wiped member did before
// counts as one loss, so nothing else is wiped then.
func TestEveryMoment(t *testing.T) {
	t.Parallel()
	courses := map[string]func(w *world){
		"put":         func(w *world) {},
		"takeover":    func(w *world) { w.kill(w.primary(), true); w.run(650 * ms) },
		"readmission": func(w *world) { o := w.other(); w.wipe(o); w.start(o); w.run(250 * ms) },
		"writers":     func(w *world) { w.kill(w.backup(), true); w.run(600 * ms) },
	}
	faults := map[string]func(w *world, n *node){
		"kill":  func(w *world, n *node) { w.kill(n, true); w.after(300*ms, func() { w.start(n) }) },
		"power": func(w *world, n *node) { w.kill(n, false); w.start(n) },
		"wipe": func(w *world, n *node) {
			if w.missing() < w.losses {
				w.wipe(n)
				w.start(n)
			}
		},
		"cut":    func(w *world, n *node) { w.part(n, 2*time.Second, func(*node) bool { return true }, false) },
		"freeze": func(w *world, n *node) { n.frozen, n.ice = w.now+time.Second, n.ice+1 },
		"stall":  func(w *world, n *node) { n.stalled = w.now + 800*ms },
	}
	for course, begin := range courses {
		for fault, do := range faults {
			t.Run(course+" "+fault, func(t *testing.T) {
				t.Parallel()
				for i := range 3 {
					for moment := 1 + i; moment < 150; moment += 4 {
						w := calm(t, 3, 1, 1)
						begin(w)
						w.moment, w.fault = moment, func() { do(w, w.nodes[i]) }
						for _, n := range w.nodes { // two versions of one number, among others
							w.put(n)
						}
						w.run(100 * ms)
						w.call(w.nodes[3], true, Doc{})
						w.run(900 * ms)
						w.put(w.nodes[(i+1)%3])
						w.call(w.nodes[3], true, Doc{})
						w.goesOn()
						if w.broken != nil {
							t.Fatal(fmt.Errorf("%s at moment %d: %w", w.nodes[i].cfg.Self, moment, w.broken))
						}
					}
				}
			})
		}
	}
}
