package bench

import (
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"os"
	"runtime/debug"
	"slices"
	"sync"

	"github.com/samber/lo"

	"asterwell/internal/standin/faultproxy"
	"asterwell/internal/transport"
)

// callersWidth is how many cases are played at a time: most of them wait.
const callersWidth = 96

// controlCallers plays the sweep of answers and their callers whole, at each byte, drawn days
// besides, the frames between processes, and each guard taken out.
func controlCallers(days int, seed uint64) (ControlPoint, error) {
	p := ControlPoint{Name: "callers", Days: days, Broken: map[string]int{"wrong_caller": 0, "sent_twice": 0}, Worst: map[string]float64{},
		Mutants: len(callerMutants) + 1}
	log.SetOutput(io.Discard) // a line for each answer that is spoilt: here they all are
	defer log.SetOutput(os.Stderr)
	defer debug.SetGCPercent(debug.SetGCPercent(400)) // each case is a gateway of its own
	var mu sync.Mutex
	broken := func(key, form string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		p.Broken[key]++
		p.Lines = append(p.Lines, key+": "+fmt.Sprintf(form, args...))
	}
	cases, frames := callerCases(callerShapes(), 1), frameCases(1)
	struck := 0
	for _, e := range callerSweep(cases, callersWidth, 0) {
		if e.judge(broken); e.struck {
			struck++
		}
	}
	for _, e := range frameSweep(frames, callersWidth, 0) {
		if e.judge(broken); e.met {
			struck++
		}
	}
	if all := len(cases) + len(frames); struck < all*9/10 {
		return p, fmt.Errorf("callers: the faults of only %d of %d cases met an exchange", struck, all)
	}
	side(days, callersWidth/dayClients, func(i int) { callerDay(seed+uint64(i), 0, broken) })
	for _, m := range callerMutants {
		if met, _ := m.meet(cases, seed, callersWidth); met != "" {
			p.Found++
		} else {
			p.Lines = append(p.Lines, "not met: "+m.name)
		}
	}
	if formerCounts(frames) != "" {
		p.Found++
	} else {
		p.Lines = append(p.Lines, "not met: answers to a former life's calls count")
	}
	return p, nil
}

// callerCases are the shapes with each fault at each step-th byte. The shapes themselves, with
// nothing wrong, tell how long their messages are, and are judged too.
func callerCases(shapes []callerCase, step int) (cases []callerCase) {
	for _, s := range shapes {
		plain := s.play(0)
		cases = append(append(cases, s), callerFaults(s, plain.sizes[0]+1, plain.sizes[1], step)...)
	}
	return cases
}

// callerSweep plays cases, so many at a time.
func callerSweep(cases []callerCase, width int, bug transport.Bug) []played {
	ends := make([]played, len(cases))
	side(len(cases), width, func(i int) { ends[i] = cases[i].play(bug) })
	return ends
}

// callerMutant is a guard taken out, what that breaks, and the faults that should show it.
type callerMutant struct {
	name  string
	bug   transport.Bug
	key   string
	kinds []faultproxy.Kind
}

var callerMutants = []callerMutant{
	{"answers are taken whatever their name", transport.BugAcceptForeign, "sent_twice", []faultproxy.Kind{faultproxy.Before, faultproxy.Instead}},
	{"an answer to another is passed on", transport.BugAcceptForeign, "wrong_caller", []faultproxy.Kind{faultproxy.Before, faultproxy.Edited}},
	{"a name goes by a connection twice", transport.BugReuseConn, "sent_twice", []faultproxy.Kind{faultproxy.AfterIt}},
	{"a break of a used connection is told as not sent", transport.BugLostIsNotSent, "sent_twice", []faultproxy.Kind{faultproxy.SayReset, faultproxy.SayClose}},
	{"an answer that begins in another is taken", transport.BugNotStrict, "sent_twice", []faultproxy.Kind{faultproxy.Before}},
	{"a body without a length is taken", transport.BugNotStrict, "wrong_caller", []faultproxy.Kind{faultproxy.Ended}},
}

// meet plays the cases of the mutant's faults in a drawn order until its rule breaks.
func (m callerMutant) meet(cases []callerCase, seed uint64, width int) (met string, tried int) {
	mine := lo.Filter(cases, func(c callerCase, _ int) bool { return slices.Contains(m.kinds, c.fault.Kind) })
	rand.New(rand.NewPCG(seed, 0xca11)).Shuffle(len(mine), func(i, j int) { mine[i], mine[j] = mine[j], mine[i] })
	for ; len(mine) > 0 && met == ""; mine = mine[min(width, len(mine)):] {
		now := mine[:min(width, len(mine))]
		tried += len(now)
		for _, p := range callerSweep(now, width, m.bug) {
			p.judge(func(key, form string, args ...any) {
				if key == m.key {
					met = fmt.Sprintf(form, args...)
				}
			})
		}
	}
	return met, tried
}
