package bench

import (
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Losses of what all others lean on: the primary, and everything.

// takeover kills the primary, puts until somebody acknowledges, and starts it again.
func (x *scaleRun) takeover(figure map[string]any) {
	roles := x.read()
	primary, ok := lo.Find(x.live(), func(n *scaleNode) bool { return n.core && roles[n.name].Role == "primary" })
	x.r.Rule(ok, "takeover: nobody says that it is the primary")
	if !ok {
		return
	}
	began := time.Now()
	primary.proc.kill()
	acked, ok := x.put(began.Add(scaleTurn))
	x.r.Rule(ok, "takeover: no configuration is acknowledged within %v", scaleTurn)
	if !ok {
		return
	}
	figure["acked_s"] = round3(acked.Sub(began).Seconds())
	live := x.live()
	all := x.turns(acked, live)
	x.r.Rule(len(all) == len(live) && slices.Max(all) <= scaleTurn, "takeover: configuration %d is held by %d of %d", x.version, len(all), len(live))
	figure["converge_s_p99"] = quantile(all, 0.99)
	ok = x.settled(time.Now().Add(scaleTurn), true)
	figure["seen_gone_s"] = round3(time.Since(began).Seconds())
	x.r.Rule(ok, "takeover: the loss is not seen by all after %v: %s", scaleTurn, x.lacks(true))
	x.back(figure, primary.proc)
}

// back starts processes again and waits until all is well.
func (x *scaleRun) back(figure map[string]any, gone ...*scaleProc) {
	began := time.Now()
	for _, p := range gone {
		if err := p.start(); err != nil {
			x.r.Rule(false, "a process does not start again: %v", err)
			return
		}
	}
	ok := x.settled(time.Now().Add(2*scaleTurn), true)
	figure["back_s"] = round3(time.Since(began).Seconds())
	x.r.Rule(ok, "%d processes back: not all know all after %v: %s", len(gone), 2*scaleTurn, x.lacks(true))
}

// restarted is the name of the phase whose figures begin at the processes' start.
const restarted = "restart"

// restart kills all gateways at once, as a loss of power everywhere, and starts them all at once. Servers go on
// beating. What one machine has of processors decides how long it takes: a real fleet has one for each gateway.
func (x *scaleRun) restart(figure map[string]any) {
	held := x.version
	for _, p := range x.procs {
		p.up.Store(false)
		p.cmd.Process.Kill()
	}
	for _, p := range x.procs {
		p.kill()
	}
	began := time.Now()
	for _, p := range x.procs {
		if err := p.start(); err != nil {
			x.r.Rule(false, "a process does not start again: %v", err)
			return
		}
	}
	figure["started_s"] = round3(time.Since(began).Seconds())
	acked, ok := x.put(began.Add(x.o.Within))
	x.r.Rule(ok, "restart: no configuration above %d is acknowledged within %v", held, x.o.Within)
	if !ok {
		return
	}
	figure["acked_s"] = round3(acked.Sub(began).Seconds())
	live := x.live()
	all := x.turns(acked, live)
	x.r.Rule(len(all) == len(live), "restart: configuration %d is held by %d of %d after %v", x.version, len(all), len(live), scaleTurn)
	figure["converge_s_p99"] = quantile(all, 0.99)
	ok = x.settled(began.Add(x.o.Within), true)
	figure["back_s"] = round3(time.Since(began).Seconds())
	x.r.Rule(ok, "restart: not all know all %v after it: %s", x.o.Within, x.lacks(true))
	x.o.Progress(fmt.Sprintf("all back %.1f s after the start, the first acknowledgement after %.1f", figure["back_s"], figure["acked_s"]))
}
