package bench

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"asterwell/internal/standin/faultproxy"
	"asterwell/internal/transport"
)

const (
	dayRounds  = 30
	dayClients = 3 // at a time, at most
	dayLine    = 4 // requests that one sends at once, at most
)

// callerDay draws a day: clients in crowds that pipeline what they like, and faults of all kinds
// that meet whichever exchange is next. It tells what broke.
func callerDay(seed uint64, bug transport.Bug, broken func(key, form string, args ...any)) {
	rng := rand.New(rand.NewPCG(seed, 0xda75))
	g, err := newCallerStage(1+rng.IntN(3), bug)
	if err != nil {
		broken("wrong_caller", "day %d: %v", seed, err)
		return
	}
	var all []*asked
	for range dayRounds {
		if rng.IntN(3) > 0 {
			g.plan.Arm(drawnFault(rng))
		}
		var wg sync.WaitGroup
		for range 1 + rng.IntN(dayClients) {
			var line []*asked
			for range 1 + rng.IntN(dayLine) {
				line = append(line, drawnAsk(rng))
				if rng.IntN(8) == 0 {
					g.ledger.Refuse(line[len(line)-1].name, 1+rng.IntN(2))
				}
			}
			all = append(all, line...)
			wg.Go(func() {
				if err := g.ask(line...); err != nil {
					broken("wrong_caller", "day %d: %v", seed, err)
				}
			})
		}
		wg.Wait()
		if rng.IntN(2) == 0 {
			time.Sleep(callerRest)
		}
	}
	g.close()
	for i, a := range all {
		judged(a, g.ledger, func(key, form string, args ...any) {
			broken(key, "day %d, request %d, %s %s: %s", seed, i, a.method, a.path, fmt.Sprintf(form, args...))
		})
	}
	for _, name := range g.ledger.Changed() {
		broken("wrong_caller", "day %d: %s ran with another body or method", seed, name)
	}
}

func drawnAsk(rng *rand.Rand) *asked {
	a := &asked{name: callerName(), method: "GET", path: "/often/x", wait: callerWait}
	if rng.IntN(2) == 0 {
		a.method, a.path, a.chunks = "POST", "/once/x", rng.IntN(2) == 0
	}
	if rng.IntN(2) == 0 {
		a.path = a.path[:len(a.path)-1] + "chunks/x"
	}
	if rng.IntN(10) == 0 {
		a.path = a.path[:len(a.path)-1] + []string{"long", "upload"}[rng.IntN(2)]
	}
	if rng.IntN(3) == 0 {
		a.wait = callerSilence
	}
	return a
}

func drawnFault(rng *rand.Rand) faultproxy.Fault {
	f := faultproxy.Fault{Kind: faultproxy.Kind(1 + rng.IntN(int(faultproxy.AfterIt))), At: rng.IntN(300), Edit: callerEdits[rng.IntN(len(callerEdits))]}
	if rng.IntN(5) == 0 {
		f.At = rng.IntN(100_000)
	}
	status := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusBadRequest}[rng.IntN(4)]
	switch f.Stale = faultproxy.Refusal(status, "t-other"); rng.IntN(3) {
	case 0:
		f.Stale = faultproxy.Refusal(status, "")
	case 1:
		f.Stale = faultproxy.Answer("t-other", "/often/x", "")
	}
	if at := f.At; f.Kind == faultproxy.Ended {
		f.Edit = func(a []byte) []byte { return endless(a, at%60) }
	}
	return f
}
