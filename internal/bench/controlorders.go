package bench

import (
	"fmt"
	"math"
	"sync"

	"github.com/anishathalye/porcupine"

	"asterwell/internal/consensus"
	"asterwell/internal/drainpermit"
	"asterwell/internal/faultrules"
	faultworld "asterwell/internal/faultrules/world"
	"asterwell/internal/systemsim"
)

// One number, one text; one order, one outcome.
const (
	twoTexts   = "two_texts"
	refusedNow = "refused_again"
	// A stop of fault rules, or a copy of one, ended others than it was meant for.
	otherStopped = "other_stopped"
	// All gateways drain.
	noneStays = "none_stays"
)

// textOf is an operation on the text of one number: whoever is first writes it, for good.
type textOf struct {
	text string
	read bool
}

// texts has for each number a register that is written once.
var texts = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		of := map[uint32][]porcupine.Operation{}
		for _, o := range all {
			n := o.Metadata.(uint32)
			of[n] = append(of[n], o)
		}
		var parts [][]porcupine.Operation
		for _, p := range of {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		held, i := state.(string), in.(textOf)
		switch out.(string) {
		case systemsim.Acked, systemsim.Saw:
			if held == "" && !i.read {
				held = i.text
			}
			return held == i.text, held
		case systemsim.Differed:
			return held != "" && held != i.text, held
		}
		if held == "" { // no clear answer: it was taken at some time, or never
			held = i.text
		}
		return true, held
	},
}

// oneText holds a history against that, and tells what is wrong with it, by the report's key.
func oneText(calls []systemsim.Call) (key, why string) {
	var ops []porcupine.Operation
	acked, denied := map[uint32]string{}, map[string]bool{}
	for i, c := range calls {
		name := fmt.Sprint(c.Number, " ", c.Text)
		switch c.End {
		case systemsim.Acked:
			if t, ok := acked[c.Number]; ok && t != c.Text {
				return twoTexts, fmt.Sprintf("%08x has the texts %s and %s acknowledged", c.Number, t, c.Text)
			}
			acked[c.Number] = c.Text
		case systemsim.Differed:
			denied[name] = true
		}
		o := porcupine.Operation{ClientId: i, Input: textOf{c.Text, c.End == systemsim.Saw}, Output: c.End, Call: int64(c.From), Return: int64(c.To),
			Metadata: c.Number}
		if c.End == systemsim.Unclear {
			o.Return = math.MaxInt64
		}
		ops = append(ops, o)
	}
	for _, c := range calls {
		if c.End == systemsim.Acked && denied[fmt.Sprint(c.Number, " ", c.Text)] {
			return refusedNow, fmt.Sprintf("%08x %s is acknowledged, and refused", c.Number, c.Text)
		}
	}
	if !porcupine.CheckOperations(texts, ops) {
		return twoTexts, "porcupine: no order of the calls explains the answers"
	}
	return "", ""
}

// ordersDay plays a seed's day of operators, and the calls of it that are at fault.
func ordersDay(seed uint64, bug systemsim.Bug) (key, why string) {
	s := systemsim.Run(systemsim.DrawOrders(seed), seed, bug, nil)
	switch s.Broken {
	case "":
	case "TEXTS":
		return twoTexts, s.String()
	case "LOST":
		return ackedLost, s.String()
	default:
		return "", s.String()
	}
	return oneText(s.Calls)
}

// faultSetsDay plays a seed's day of fault rules, whose sets come again.
func faultSetsDay(seed uint64, bug faultrules.Bug) (key, why string) {
	w := faultworld.Play(seed, bug)
	switch w.Broken {
	case "TEXTS":
		return twoTexts, w.Detail
	case "REFUSED":
		return refusedNow, w.Detail
	case "SPARED":
		return otherStopped, w.Detail
	}
	return "", w.Detail
}

// ordersWalk draws schedules of a small core that is given several texts of one number.
func ordersWalk(seed uint64, count int, bug consensus.Bug) string {
	w := consensus.Walk(ordersBounds(bug), consensus.NoPair, seed, count, orderSteps)
	return w.Violation
}

const orderSteps = 160

func ordersBounds(bug consensus.Bug) consensus.ModelBounds {
	return consensus.ModelBounds{Members: 3, ToleratedLosses: 1, StartSilent: true, Puts: 4, Overtaken: true, LostMessages: 1, ShortWaits: 20, LongWaits: 30, Crashes: 2, Bug: bug}
}

// controlOrders plays what must not make two texts of a number, or refuse an order that was taken.
func controlOrders(days int, seed uint64) (ControlPoint, error) {
	p := ControlPoint{Name: "one number, one text", Days: days, Broken: map[string]int{twoTexts: 0, refusedNow: 0, ackedLost: 0, otherStopped: 0, noneStays: 0}}
	var mu sync.Mutex
	met := func(where, key, why string) {
		mu.Lock()
		defer mu.Unlock()
		if why == "" {
			return
		}
		if key != "" {
			p.Broken[key]++
		}
		p.Lines = append(p.Lines, where+": "+why)
	}
	models := []consensus.ModelBounds{{Puts: 2, SameVersion: true}, {Puts: 3, Overtaken: true, MaxStates: 100_000}, {StartSilent: true, Puts: 2, SameVersion: true, ShortWaits: 1, MaxStates: 100_000}}
	explore := each(len(models), func(i int) { met(bounded(models[i]), twoTexts, consensus.Explore(models[i]).Violation) })
	walk := func() { met("drawn schedules", twoTexts, ordersWalk(seed, 200, 0)) }
	play := each(days, func(i int) {
		at := seed + uint64(i)
		key, why := ordersDay(at, systemsim.Sound)
		met(fmt.Sprint("orders, seed ", at), key, why)
		key, why = faultSetsDay(at, faultrules.NoBug)
		met(fmt.Sprint("fault rules, seed ", at), key, why)
	})
	scripts := systemsim.ControlScripts()
	for _, name := range []string{"stops", "drains"} {
		side(cutSeeds, 4, func(i int) {
			switch s := systemsim.Run(scripts[name], seed+uint64(i), systemsim.Sound, nil); s.Broken {
			case "":
			case "STAYED":
				met("scenario "+name, noneStays, s.String())
			case "EXPECT":
				met("scenario "+name, otherStopped, s.String())
			default:
				met("scenario "+name, "", s.String())
			}
		})
	}
	for _, b := range []drainpermit.Bounds{{Procs: 2, Starts: 3, Stops: 1, Repeats: 2, States: 50_000}, {Procs: 3, Starts: 3, States: 50_000}} {
		met(fmt.Sprintf("drains, %+v", b), noneStays, drainpermit.Explore(b).Violation)
	}
	drains := func(bug drainpermit.Bug) bool {
		return drainpermit.Explore(drainpermit.Bounds{Procs: 2, Starts: 3, Stops: 1, Repeats: 2, Bug: bug}).Violation != ""
	}
	mutants := []func(seed uint64) bool{
		func(s uint64) bool {
			return systemsim.Run(scripts["stops"], s, systemsim.Numberless, nil).Broken == "EXPECT"
		},
		func(s uint64) bool {
			return systemsim.Run(scripts["drains"], s, systemsim.Uncalled, nil).Broken == "STAYED"
		},
		func(uint64) bool { return drains(drainpermit.BugNoPermission) },
		func(uint64) bool { return drains(drainpermit.BugStalePermission) },
		func(uint64) bool { return drains(drainpermit.BugGrantWhileRequesting) },
		func(s uint64) bool { key, _ := ordersDay(s, systemsim.Confirms); return key != "" },
		func(s uint64) bool { key, _ := ordersDay(s, systemsim.Forgets); return key != "" },
		func(s uint64) bool { key, _ := faultSetsDay(s, faultrules.RejectsRetries); return key != "" },
		func(s uint64) bool { key, _ := faultSetsDay(s, faultrules.IgnoresBody); return key != "" },
		func(s uint64) bool {
			key, _ := faultSetsDay(s, faultrules.IgnoresStopVersion)
			return key == otherStopped
		},
		func(s uint64) bool { return ordersWalk(s, 1, consensus.BugAnyBody) != "" },
		func(s uint64) bool { // met by one schedule of 30 to some thousands: hunted once, in many
			return s == seed && walkFinds(ordersBounds(consensus.BugDropLedger), consensus.NoPair, seed, orderSteps)
		},
	}
	p.Mutants = len(mutants)
	found := make([]bool, len(mutants))
	hunt := each(len(mutants), func(i int) {
		for s := seed; s < seed+200 && !found[i]; s++ {
			found[i] = mutants[i](s)
		}
	})
	sideAll(explore, []func(){walk}, hunt, play)
	for i, ok := range found {
		if ok {
			p.Found++
		} else {
			p.Lines = append(p.Lines, fmt.Sprintf("mutant %d is not found", i))
		}
	}
	return p, nil
}
