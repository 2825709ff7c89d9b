package bench

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"asterwell/internal/consensus"
	"asterwell/internal/systemsim"
)

// AgreementOptions of the measurement of agreement.
type AgreementOptions struct {
	Seed     uint64
	States   int // of a model that is not visited as a whole, at most
	Walks    int // drawn schedules of each kind
	Most     int // schedules or days until a mutant counts as not found
	Side     int // models side by side
	Progress func(text string)
}

// agreementModels: those that end by themselves first, then one with all that may go wrong,
// by breadth and by depth.
func agreementModels(states int) []consensus.ModelBounds {
	all := []consensus.ModelBounds{
		{Puts: 2, Reads: 1},
		{Puts: 2, SameVersion: true},
		{StartSilent: true, Puts: 2},
		{StartSilent: true, Puts: 2, SameVersion: true},
		{StartSilent: true, Puts: 1, ShortWaits: 1},
		{StartSilent: true, Puts: 1, LongWaits: 1},
		{StartSilent: true, Puts: 1, LostMessages: 1},
		{StartSilent: true, Puts: 1, LateMessages: 1},
		{StartSilent: true, Puts: 1, DuplicatedMessages: 1},
		{StartSilent: true, Puts: 1, Crashes: 1},
		{StartSilent: true, Puts: 1, DiskWipes: 1},
		{StartSilent: true, ShortWaits: 1, LongWaits: 1, Crashes: 1},
		{StartSilent: true, ShortWaits: 1, DiskWipes: 1},
		{StartSilent: true, ShortWaits: 1, LostMessages: 1, LateMessages: 1, DuplicatedMessages: 1},
		{StartSilent: true, Puts: 2, ShortWaits: 1},
		{StartSilent: true, Puts: 1, ShortWaits: 1, Crashes: 1},
		{StartSilent: true, Puts: 1, ShortWaits: 1, DiskWipes: 1},
	}
	full := consensus.ModelBounds{StartSilent: true, Puts: 2, Reads: 1, LostMessages: 1, LateMessages: 1, DuplicatedMessages: 1, Crashes: 2, DiskWipes: 1, ShortWaits: 2, LongWaits: 4}
	deep := full
	deep.DepthFirst = true
	all = append(all, full, deep)
	for i := range all {
		all[i].MaxStates = states
	}
	return all
}

// bounded tells bounds in few words.
func bounded(b consensus.ModelBounds) string {
	var words []string
	add := func(n int, word string) {
		if n > 0 {
			words = append(words, fmt.Sprintf("%d %s", n, word))
		}
	}
	if b.StartSilent {
		words = append(words, "primary unheard")
	}
	add(b.Puts, "puts")
	if b.SameVersion {
		words = append(words, "of one version")
	}
	add(b.Reads, "reads")
	add(b.LostMessages, "lost")
	add(b.LateMessages, "late")
	add(b.DuplicatedMessages, "doubled")
	add(b.Crashes, "deaths")
	add(b.DiskWipes, "wipes")
	add(b.ShortWaits, "repeats")
	add(b.LongWaits, "waits")
	if b.DepthFirst {
		words = append(words, "by depth")
	}
	return strings.Join(words, ", ")
}

// side does so many jobs, several at a time.
func side(jobs, width int, do func(i int)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(width, 1))
	for i := range jobs {
		slots <- struct{}{}
		wg.Go(func() { piece(func() { do(i) }); <-slots })
	}
	wg.Wait()
}

// cores is how many jobs go on at once where nothing else does.
func cores() int { return runtime.GOMAXPROCS(0) }

// sideAll does jobs of several kinds on all processors: none waits for the last one of another kind.
func sideAll(kinds ...[]func()) {
	jobs := slices.Concat(kinds...)
	side(len(jobs), cores(), func(i int) { jobs[i]() })
}

// each makes a job of each of so many.
func each(count int, do func(i int)) []func() {
	return lo.Times(count, func(i int) func() { return func() { do(i) } })
}

// MeasureAgreement explores the small model of agreement, plays larger cores by drawn
// schedules, and counts what it takes to find faults that are put in.
func MeasureAgreement(o AgreementOptions) (*Report, error) {
	r := &Report{Name: "agreement", Seed: o.Seed, Figure: map[string]any{}}
	say := func(form string, args ...any) {
		if o.Progress != nil {
			o.Progress(fmt.Sprintf(form, args...))
		}
	}
	o.models(r, say)
	o.walks(r, say)
	o.mutants(r, say)
	o.busy(r)
	return r, nil
}

func (o AgreementOptions) models(r *Report, say func(string, ...any)) {
	models := agreementModels(o.States)
	found := make([]consensus.Exploration, len(models))
	took := make([]time.Duration, len(models))
	side(len(models), o.Side, func(i int) {
		began := time.Now()
		found[i] = consensus.Explore(models[i])
		took[i] = time.Since(began)
		say("%s: %d states, all of them: %v %s", bounded(models[i]), found[i].States, found[i].Complete, found[i].Violation)
	})
	r.Row("small model", "visited", "states", "steps", "depth", "acked", "epochs", "seconds")
	states, whole, wholes := 0, 0, 0
	for i, f := range found {
		states += f.States
		visited := "the first"
		if f.Complete {
			visited = "whole"
			whole += f.States
			wholes++
		}
		r.Row(bounded(models[i]), visited, f.States, f.Steps, f.Depth, f.Acked, f.Epochs, took[i].Seconds())
		r.Rule(f.Violation == "", "small model, %s: %s\n  %s", bounded(models[i]), f.Violation, strings.Join(f.Trace, "\n  "))
	}
	for k, v := range map[string]int{"states": states, "states_of_whole_models": whole, "models": len(models), "whole_models": wholes} {
		r.Figure[k] = v
	}
}

// agreementWalks are schedules for cores of several sizes.
func agreementWalks() (names []string, bounds []consensus.ModelBounds, pairs []consensus.PairFault) {
	add := func(name string, b consensus.ModelBounds, p consensus.PairFault) {
		b.StartSilent, b.Puts, b.Reads, b.LostMessages, b.LateMessages, b.DuplicatedMessages, b.ShortWaits, b.LongWaits = true, 4, 2, 3, 3, 3, 30, 15*b.Members
		names, bounds, pairs = append(names, name), append(bounds, b), append(pairs, p)
	}
	add("3 members, 2 deaths, 1 wipe", consensus.ModelBounds{Members: 3, ToleratedLosses: 1, Crashes: 2, DiskWipes: 1}, consensus.NoPair)
	add("5 members for 1 loss", consensus.ModelBounds{Members: 5, ToleratedLosses: 1, Crashes: 2, DiskWipes: 1}, consensus.NoPair)
	for _, n := range []int{6, 8} {
		for i, what := range []string{"2 killed at once", "2 at once, 1 wiped", "2 wiped at once"} {
			add(fmt.Sprintf("%d members, %s", n, what), consensus.ModelBounds{Members: n, ToleratedLosses: 2}, consensus.BothKilled+consensus.PairFault(i))
		}
	}
	return names, bounds, pairs
}

const walkSteps = 220

func (o AgreementOptions) walks(r *Report, say func(string, ...any)) {
	names, bounds, pairs := agreementWalks()
	found := make([]consensus.RandomWalks, len(names))
	side(len(names), o.Side, func(i int) {
		found[i] = consensus.Walk(bounds[i], pairs[i], o.Seed, o.Walks, walkSteps)
		say("%s: %d schedules, %d with a takeover %s", names[i], found[i].Count, found[i].Epochs, found[i].Violation)
	})
	r.Row("drawn schedules", "", "schedules", "steps", "with a takeover", "acked")
	schedules := 0
	for i, w := range found {
		schedules += w.Count
		r.Row(names[i], "", w.Count, w.Steps, w.Epochs, w.Acked)
		r.Rule(w.Violation == "", "%s, seed %d: %s\n  %s", names[i], w.Seed, w.Violation, strings.Join(w.Trace, "\n  "))
	}
	r.Figure["schedules"] = schedules
}

// mutants hunts faults: by the small model, by schedules, by days of the whole system.
func (o AgreementOptions) mutants(r *Report, say func(string, ...any)) {
	three := consensus.ModelBounds{Members: 3, ToleratedLosses: 1, StartSilent: true, Puts: 4, Reads: 2, LostMessages: 1, LateMessages: 1, DuplicatedMessages: 1, ShortWaits: 20,
		LongWaits: 30, Crashes: 2, DiskWipes: 1}
	five := three
	five.Members = 5
	hunts := []struct {
		what  string
		bug   consensus.Bug
		small consensus.ModelBounds
		walk  consensus.ModelBounds
		day   systemsim.Bug
	}{
		{"acknowledged by the primary alone", consensus.BugAckEarly, consensus.ModelBounds{StartSilent: true, Puts: 1, ShortWaits: 1}, three, systemsim.Sound},
		{"acknowledged before the disks have synced", consensus.BugEarlySync, consensus.ModelBounds{}, three, systemsim.Sound},
		{"taken over without the witnesses", consensus.BugNoQuorum, consensus.ModelBounds{}, five, systemsim.Sound},
		{"an overtaken primary obeyed", consensus.BugNoPromise, consensus.ModelBounds{}, three, systemsim.Sound},
		{"an empty disk counts as one that remembers", consensus.BugReuseDiskID, consensus.ModelBounds{StartSilent: true, Puts: 1, DiskWipes: 1}, three, systemsim.Sound},
		{"a disk says so before it has synced", 0, consensus.ModelBounds{}, consensus.ModelBounds{}, systemsim.Early},
		{"a home does not tell that a server leaves", 0, consensus.ModelBounds{}, consensus.ModelBounds{}, systemsim.Mute},
		{"an add counted twice after a restart", 0, consensus.ModelBounds{}, consensus.ModelBounds{}, systemsim.Twice},
	}
	type hit struct {
		by, rule string
		n        int
	}
	hits := make([]hit, len(hunts))
	side(len(hunts), o.Side, func(i int) {
		h := hunts[i]
		switch {
		case h.day != systemsim.Sound:
			hits[i] = hit{by: "days"}
			for seed := o.Seed; seed < o.Seed+uint64(o.Most) && hits[i].rule == ""; seed++ {
				s := systemsim.Run(systemsim.Draw(seed), seed, h.day, nil)
				hits[i].n, hits[i].rule = hits[i].n+1, s.Broken
			}
		default:
			if h.small != (consensus.ModelBounds{}) {
				h.small.Bug, h.small.MaxStates = h.bug, o.States
				f := consensus.Explore(h.small)
				if hits[i] = (hit{"states", f.Violation, f.States}); f.Violation != "" {
					break
				}
			}
			h.walk.Bug = h.bug
			w := consensus.Walk(h.walk, consensus.NoPair, o.Seed, 10*o.Most, walkSteps)
			hits[i] = hit{"schedules", w.Violation, w.Count}
		}
		say("mutant, %s: %d %s: %s", h.what, hits[i].n, hits[i].by, hits[i].rule)
	})
	r.Row("mutant", "", "until found", "by", "rule")
	needed := map[string]int{}
	for i, h := range hits {
		r.Row(hunts[i].what, "", h.n, h.by, h.rule)
		r.Rule(h.rule != "", "mutant, %s: not found by %d %s", hunts[i].what, h.n, h.by)
		needed[hunts[i].what] = h.n
	}
	r.Figure["mutants_needed"] = needed
}

// busyDisks are stalls a minute, and whether all disks are one.
var busyDisks = []string{"5", "5 shared", "12", "12 shared", "25 shared"}

const busySeeds = 10

// busy counts changes of primary on disks that do other work.
func (o AgreementOptions) busy(r *Report) {
	r.Row("stalls a minute, in 60 s", "", "epochs", "changes", "acked p90 ms", "p99 ms")
	figure := map[string][]float64{}
	for _, b := range busyDisks {
		days := make([]systemsim.Stats, busySeeds)
		side(busySeeds, o.Side, func(i int) {
			script := fmt.Sprintf("start 6 zones 3 core 3\nservers pay 3\ntenant t1 60 60 40\nrun 1s\nput 3\nrun 8s\n"+
				"busy core 17ms %s for 60s\nputs 4 60 1s\nrun 63s\n", b)
			days[i] = systemsim.Run(script, o.Seed+uint64(i)-1, systemsim.Sound, nil)
		})
		var epochs, changes int
		var acks systemsim.Times
		for _, s := range days {
			epochs += s.Epochs
			changes += s.Changes
			acks = append(acks, s.Acks...)
			r.Rule(s.Broken == "", "busy disks, %s: %v", b, s)
		}
		row := []float64{float64(epochs) / busySeeds, float64(changes) / busySeeds,
			float64(acks.Of(0.9).Milliseconds()), float64(acks.Of(0.99).Milliseconds())}
		r.Row(b, "", row[0], row[1], row[2], row[3])
		figure[b] = row
	}
	r.Figure["busy_epochs_changes_p90_p99"] = figure
}
