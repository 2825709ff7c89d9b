package world

import (
	"time"

	"asterwell/internal/controlplane"
	"asterwell/internal/rollout"
)

// holds runs until the primary has told everybody to decide nothing, and ends before any word
// on it has come back.
func (w *World) holds() {
	for end := w.now + time.Second; w.now < end; w.Run(50 * time.Microsecond) {
		if p := w.primary(); p.k.RolloutStatus(p.clock()).Stage == "holding" {
			return
		}
	}
	w.breaks("STUCK", "no hold within a second")
}

// stilled is a core that stands still in the moment of a turn that eleven have to confirm;
// two of the others end meanwhile.
func stilled(seed uint64, bug rollout.Bug, still time.Duration) *World {
	w := stage(Options{Seed: seed, Bug: bug}, 11, 0)
	w.Put(w.primary(), 3, 0, 0, "")
	w.holds()
	for _, n := range w.nodes[:3] {
		n.freeze(still)
	}
	w.nodes[8].kill()
	w.nodes[9].kill()
	w.Run(still + 3*time.Second)
	return w
}

// FreezeDuringHold plays a core that stands still in a hold for longer than any lease.
func FreezeDuringHold(seed uint64, bug rollout.Bug) []Violation {
	w := stilled(seed, bug, 3*time.Second)
	w.heal()
	return w.res.Violations
}

// waits is a fleet in which version 3 waits for one that is down.
func waits(seed uint64, bug rollout.Bug) *World {
	w := stage(Options{Seed: seed, Bug: bug}, 11, 0)
	w.nodes[8].kill()
	w.Put(w.primary(), 3, 0, 0, "")
	w.Run(time.Second)
	return w
}

// restart kills all, and starts them.
func (w *World) restart() {
	for _, n := range w.nodes {
		n.kill()
	}
	w.Run(time.Second)
	w.calm()
	w.Run(SettleTime)
}

// RepeatedOrders has a version withdrawn and put at three processes at once while the primary is
// killed, and again once a higher one is live, and once more after all have started anew.
func RepeatedOrders(seed uint64, bug rollout.Bug) []Violation {
	w := waits(seed, bug)
	orders := func(from int) {
		for _, n := range w.nodes[from : from+3] {
			w.Withdraw(n, 3)
			w.Put(n, 3, 0, 0, "")
		}
	}
	orders(3)
	w.Run(w.upTo(10 * ms))
	w.primary().kill()
	for range 4 { // a caller without an answer calls again
		w.Run(time.Second)
		orders(4)
	}
	w.calm()
	w.Run(SettleTime)
	w.Put(w.nodes[5], 4, 0, 0, "")
	w.Run(2 * time.Second)
	orders(5)
	w.Run(time.Second)
	w.restart()
	orders(6)
	w.heal()
	return w.res.Violations
}

// DelayedWithdrawal has a version withdrawn that is not there, and put once another leads; then copies of
// that wish arrive at it which the network has held up.
func DelayedWithdrawal(seed uint64, bug rollout.Bug) []Violation {
	w := stage(Options{Seed: seed, Bug: bug}, 11, 0)
	w.nodes[8].kill()
	w.late = []rollout.WithdrawRequest{}
	asker := w.nodes[7]
	w.Withdraw(asker, 3)
	w.Run(time.Second)
	w.primary().kill()
	w.Run(3 * time.Second)
	copies := w.late
	w.late = nil
	w.Put(w.nodes[5], 3, 0, 0, "")
	w.Run(time.Second)
	for _, wish := range copies {
		p := w.primary()
		p.input(func() controlplane.Output { return p.k.Receive(p.clock(), asker.addr, wish) })
	}
	w.Run(time.Second)
	if p := w.primary(); len(copies) == 0 || p.k.RolloutStatus(p.clock()).Fate == rollout.Withdrawn.String() {
		w.breaks("LATE", "version 3 is withdrawn by %d copies of a wish from before it came", len(copies))
	}
	w.heal()
	return w.res.Violations
}
