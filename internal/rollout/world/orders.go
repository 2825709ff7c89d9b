package world

import (
	"time"

	"asterwell/internal/controlplane"
	"asterwell/internal/rollout"
)

// runUntilHold runs until the primary has started a hold, and ends before any confirmation in it has come
// back.
func (w *World) runUntilHold() {
	for end := w.now + time.Second; w.now < end; w.Run(50 * time.Microsecond) {
		if p := w.primary(); p.control.RolloutStatus(p.clock()).Stage == "holding" {
			return
		}
	}
	w.violate("STUCK", "no hold within a second")
}

// frozenCore freezes the core in the moment of a hold that eleven nodes have to confirm; two of the others
// are killed meanwhile.
func frozenCore(seed uint64, bug rollout.Bug, duration time.Duration) *World {
	w := startTogether(Options{Seed: seed, Bug: bug}, 11, 0)
	w.Put(w.primary(), 3, 0, 0, "")
	w.runUntilHold()
	for _, n := range w.nodes[:3] {
		n.freeze(duration)
	}
	w.nodes[8].kill()
	w.nodes[9].kill()
	w.Run(duration + 3*time.Second)
	return w
}

// FreezeDuringHold freezes the core in a hold for longer than any lease.
func FreezeDuringHold(seed uint64, bug rollout.Bug) []Violation {
	w := frozenCore(seed, bug, 3*time.Second)
	w.recover()
	return w.result.Violations
}

// waitingForNode returns a fleet in which version 3 waits for a stopped node.
func waitingForNode(seed uint64, bug rollout.Bug) *World {
	w := startTogether(Options{Seed: seed, Bug: bug}, 11, 0)
	w.nodes[8].kill()
	w.Put(w.primary(), 3, 0, 0, "")
	w.Run(time.Second)
	return w
}

// restartAll kills and restarts all processes.
func (w *World) restartAll() {
	for _, n := range w.nodes {
		n.kill()
	}
	w.Run(time.Second)
	w.endFaults()
	w.Run(SettleTime)
}

// RepeatedOrders withdraws and puts a version at three processes at once while the primary is killed, again
// once a higher one is live, and once more after all processes have restarted.
func RepeatedOrders(seed uint64, bug rollout.Bug) []Violation {
	w := waitingForNode(seed, bug)
	order := func(from int) {
		for _, n := range w.nodes[from : from+3] {
			w.Withdraw(n, 3)
			w.Put(n, 3, 0, 0, "")
		}
	}
	order(3)
	w.Run(w.randomUpTo(10 * ms))
	w.primary().kill()
	for range 4 { // a caller without an answer calls again
		w.Run(time.Second)
		order(4)
	}
	w.endFaults()
	w.Run(SettleTime)
	w.Put(w.nodes[5], 4, 0, 0, "")
	w.Run(2 * time.Second)
	order(5)
	w.Run(time.Second)
	w.restartAll()
	order(6)
	w.recover()
	return w.result.Violations
}

// DelayedWithdrawal withdraws an absent version, and puts it once there is another primary; then delayed
// copies of the withdrawal arrive there.
func DelayedWithdrawal(seed uint64, bug rollout.Bug) []Violation {
	w := startTogether(Options{Seed: seed, Bug: bug}, 11, 0)
	w.nodes[8].kill()
	w.delayed = []rollout.WithdrawRequest{}
	caller := w.nodes[7]
	w.Withdraw(caller, 3)
	w.Run(time.Second)
	w.primary().kill()
	w.Run(3 * time.Second)
	copies := w.delayed
	w.delayed = nil
	w.Put(w.nodes[5], 3, 0, 0, "")
	w.Run(time.Second)
	for _, call := range copies {
		p := w.primary()
		p.deliver(func() controlplane.Output { return p.control.Receive(p.clock(), caller.addr, call) })
	}
	w.Run(time.Second)
	if p := w.primary(); len(copies) == 0 || p.control.RolloutStatus(p.clock()).Fate == rollout.Withdrawn.String() {
		w.violate("LATE", "version 3 is withdrawn by %d delayed copies of a call from before it came", len(copies))
	}
	w.recover()
	return w.result.Violations
}
