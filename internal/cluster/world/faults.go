package world

import (
	"time"

	"asterwell/internal/cluster"
)

// victim picks the node for a fault: a leader in half of the draws, else any live node.
func (w *World) victim() *node {
	if w.rng.IntN(2) == 0 {
		if n := w.pick(func(n *node) bool { return n.up && n.voter != nil && n.voter.Leads() }); n != nil {
			return n
		}
	}
	return w.pick(func(n *node) bool { return n.up })
}

// injectFault draws a fault and its duration.
func (w *World) injectFault() {
	if w.healed {
		return
	}
	n := w.victim()
	if n == nil {
		return
	}
	long := time.Duration(w.rng.ExpFloat64() * float64(1200*time.Millisecond))
	switch w.rng.IntN(10) {
	case 0, 1:
		w.kill(n)
		w.schedule(w.now+long, func() { w.restart(n) })
	case 2:
		w.pause(n, long)
	case 3:
		n.pauseAtGrant = 2*long + time.Millisecond
	case 4: // a one-way cut, from or to most others
		w.res.Cuts++
		w.trace("%s is cut off one way", n.name)
		out := w.rng.IntN(2) == 0
		for _, x := range w.nodes {
			if x != n && w.rng.IntN(5) > 0 {
				w.cut(n, x, out, long)
			}
		}
	case 5: // a network partition
		w.res.Cuts++
		side := w.rng.Uint64()
		w.trace("a split for %v: %b", long, side&0x1ff)
		for _, x := range w.nodes {
			for _, y := range w.nodes {
				if side>>x.index&1 != side>>y.index&1 {
					w.cut(x, y, true, long)
				}
			}
		}
	case 6:
		for _, x := range w.nodes {
			if x != n {
				l := w.link(n, x)
				l.delay, l.loss = time.Duration(w.rng.Int64N(int64(300*time.Millisecond))), w.rng.Float64()/2
				w.schedule(w.now+long, func() { l.delay, l.loss = 0, 0 })
			}
		}
	case 7: // a crash at the next write, which may be kept or lost
		if n.disk != nil && n.voter != nil {
			w.res.Disks++
			n.disk.crash = n
			w.schedule(w.now+long+100*time.Millisecond, func() { w.restart(n) })
		}
	case 8:
		if n.disk != nil && n.voter != nil {
			w.res.Disks++
			w.trace("writes of %s fail", n.name)
			n.disk.fails = true
			w.schedule(w.now+long+100*time.Millisecond, func() { w.kill(n); w.restart(n) })
		}
	case 9:
		n.refuses = true
		w.schedule(w.now+long, func() { n.refuses = false })
	}
}

// pause suspends a process for a while.
func (w *World) pause(n *node, long time.Duration) {
	w.trace("%s stands still for %v", n.name, long)
	w.res.Stops++
	n.paused = true
	incarnation := n.incarnation
	w.schedule(w.now+long, func() { w.resume(n, incarnation) })
}

func (w *World) link(a, b *node) *link {
	k := [2]int{a.index, b.index}
	if w.links[k] == nil {
		w.links[k] = &link{}
	}
	return w.links[k]
}

func (w *World) cut(a, b *node, out bool, long time.Duration) {
	if !out {
		a, b = b, a
	}
	l := w.link(a, b)
	l.cut = true
	w.schedule(w.now+long, func() { l.cut = false })
}

func (w *World) resume(n *node, incarnation int) {
	if n.up && n.incarnation == incarnation && n.paused {
		w.trace("%s goes on", n.name)
		n.paused = false
		w.decide(n) // the worst case: a request is decided before anything else runs
		inbox := n.inbox
		n.inbox = nil
		for _, do := range inbox {
			do()
		}
	}
}

// restart restarts a process with its disk, or sometimes with an empty one, as a new peer
// without a vote. A majority always keeps its disks.
func (w *World) restart(n *node) {
	if n.up {
		return
	}
	if n.disk != nil && w.rng.IntN(6) == 0 && w.lostDisks() < (w.opt.Voters-1)/2 {
		w.trace("%s has lost its disk", n.name)
		w.res.Lost++
		n.peer = cluster.Peer{ID: w.rng.Uint64() | 1, Name: n.name, Address: n.name}
		n.disk = &disk{w: w, self: n.peer}
		w.replaceLostVoter(n, n.peer.ID)
	}
	w.start(n)
}

// lostDisks counts the voters by name whose present disk has no vote.
func (w *World) lostDisks() (n int) {
	for _, x := range w.nodes {
		if x.disk == nil {
			continue
		}
		votes := false
		for _, y := range w.nodes {
			votes = votes || y.up && y.voter != nil && y.voter.Leads() && y.voter.Votes(x.peer.ID)
		}
		if !votes {
			n++
		}
	}
	return n
}

// replaceLostVoter acts as the operator who replaces a voter that lost its disk.
func (w *World) replaceLostVoter(n *node, id uint64) {
	w.schedule(w.now+300*time.Millisecond, func() {
		if n.peer.ID != id {
			return
		}
		for _, x := range w.nodes {
			if x.up && !x.paused && x.voter != nil && x.voter.Leads() {
				if x.voter.Votes(id) {
					return
				}
				for _, p := range x.voter.Peers() {
					if p.Name == n.name && p.ID != id && x.voter.Votes(p.ID) {
						w.runOnNode(x, x.incarnation, func() { x.voter.Replace(w.clock(x), p.ID, n.peer) })
						break
					}
				}
			}
		}
		w.replaceLostVoter(n, id)
	})
}

// heal ends all faults and restarts what is down.
func (w *World) heal() {
	w.healed = true
	w.trace("all is well again")
	for _, l := range w.links {
		*l = link{}
	}
	for _, n := range w.nodes {
		if n.refuses, n.pauseAtGrant = false, 0; n.disk != nil {
			n.disk.crash = nil
		}
		if n.paused {
			w.resume(n, n.incarnation)
		}
		if n.disk != nil && n.disk.fails || n.up && n.disk != nil && n.voter == nil {
			w.kill(n)
		}
		w.restart(n)
	}
}
