package consensus

import (
	"fmt"
	"testing"
	"time"
)

// TestFaultsAtEveryMoment injects each of several faults at each member, at every fourth event of
// puts that coincide with a takeover, a readmission or a change of writers. A member that was wiped
// before counts as one loss, so nothing else is wiped then.
func TestFaultsAtEveryMoment(t *testing.T) {
	t.Parallel()
	courses := map[string]func(w *simulation){
		"put":         func(w *simulation) {},
		"takeover":    func(w *simulation) { w.kill(w.primary(), true); w.run(650 * ms) },
		"readmission": func(w *simulation) { o := w.witness(); w.wipe(o); w.start(o); w.run(250 * ms) },
		"writers":     func(w *simulation) { w.kill(w.backup(), true); w.run(600 * ms) },
	}
	faults := map[string]func(w *simulation, n *simNode){
		"kill":  func(w *simulation, n *simNode) { w.kill(n, true); w.after(300*ms, func() { w.start(n) }) },
		"power": func(w *simulation, n *simNode) { w.kill(n, false); w.start(n) },
		"wipe": func(w *simulation, n *simNode) {
			if w.lostMemberCount() < w.toleratedLosses {
				w.wipe(n)
				w.start(n)
			}
		},
		"cut": func(w *simulation, n *simNode) {
			w.partition(n, 2*time.Second, func(*simNode) bool { return true }, false)
		},
		"freeze": func(w *simulation, n *simNode) { n.frozenUntil, n.freezes = w.now+time.Second, n.freezes+1 },
		"stall":  func(w *simulation, n *simNode) { n.stalledUntil = w.now + 800*ms },
	}
	for course, begin := range courses {
		for fault, do := range faults {
			t.Run(course+" "+fault, func(t *testing.T) {
				t.Parallel()
				for i := range 3 {
					for moment := 1 + i; moment < 150; moment += 4 {
						w := newSteadyCluster(t, 3, 1, 1)
						begin(w)
						w.eventsUntilFault, w.fault = moment, func() { do(w, w.nodes[i]) }
						for _, n := range w.nodes { // among others, two documents of the same version
							w.put(n)
						}
						w.run(100 * ms)
						w.call(w.nodes[3], true, Doc{})
						w.run(900 * ms)
						w.put(w.nodes[(i+1)%3])
						w.call(w.nodes[3], true, Doc{})
						w.checkProgress()
						if w.failure != nil {
							t.Fatal(fmt.Errorf("%s at moment %d: %w", w.nodes[i].config.Self, moment, w.failure))
						}
					}
				}
			})
		}
	}
}
