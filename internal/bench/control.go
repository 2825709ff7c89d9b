package bench

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"
)

// ControlOptions of the measurement of the control side under its worst days.
type ControlOptions struct {
	Seed     uint64
	Days     int      // drawn for each point
	Only     []string // points; none: all
	Jobs     int      // pieces of all points that are played at once; 0: as many as there are processors
	Progress func(text string)
}

// pointPlayer is a point, and what plays it.
type pointPlayer struct {
	name string
	play ControlPlayer
}

// controlPoints are the points of the control side.
var controlPoints = []pointPlayer{
	{"rollout", controlRollout},
	{"cut", controlCut},
	{"orders", controlOrders},
	{"seats", controlSeats},
	{"state", controlState},
	{"callers", controlCallers},
	{"days", controlDays},
}

// controlKeys are the figures that have to be 0. One that nobody judges is missing from the report.
var controlKeys = []string{"stale_answers", "refused_again", "two_texts", "acknowledged_lost", "no_quorum_within_budget",
	"never_caught_up", "led_old", "wrong_caller", "sent_twice", "few_confirmed"}

// controlWorst are the times of which the longest is told, in seconds.
var controlWorst = []string{"restored_s_max", "handover_s_max", "healed_s_max"}

// ownTime are the points whose times are real: they are played alone, after the others.
var ownTime = []string{"callers"}

// MeasureControl plays the points side by side, and then those that are about real time.
func MeasureControl(o ControlOptions) (*Report, error) {
	for _, name := range o.Only {
		if !slices.ContainsFunc(controlPoints, func(p pointPlayer) bool { return p.name == name }) {
			return nil, fmt.Errorf("--only: there is no point %q", name)
		}
	}
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	if o.Jobs == 0 {
		o.Jobs = runtime.GOMAXPROCS(0)
	}
	chosen := slices.DeleteFunc(slices.Clone(controlPoints), func(p pointPlayer) bool {
		return len(o.Only) > 0 && !slices.Contains(o.Only, p.name)
	})
	tell := &progress{begun: time.Now(), say: o.Progress}
	defer tell.watch()()
	points, errs := make([]ControlPoint, len(chosen)), make([]error, len(chosen))
	play := func(i int) {
		p, began := chosen[i], time.Now()
		tell.begin(p.name)
		points[i], errs[i] = p.play(o.Days, o.Seed)
		if errs[i] != nil {
			errs[i] = fmt.Errorf("%s: %w", p.name, errs[i])
		}
		if points[i].Name == "" {
			points[i].Name = p.name
		}
		tell.end(points[i], p.name, time.Since(began))
	}
	room := make(chan struct{}, o.Jobs)
	pieces.room.Store(&room)
	var wg sync.WaitGroup
	for i, p := range chosen {
		if !slices.Contains(ownTime, p.name) {
			wg.Go(func() { play(i) })
		}
	}
	wg.Wait()
	pieces.room.Store(nil)
	for i, p := range chosen {
		if slices.Contains(ownTime, p.name) {
			play(i)
		}
	}
	return reportControl(o.Seed, points), errors.Join(errs...)
}

// reportControl adds the points up.
func reportControl(seed uint64, points []ControlPoint) *Report {
	r := &Report{Name: "control", Seed: seed, Figure: map[string]any{}}
	r.Row("point", "days", "broken", "apart", "worst", "mutants", "found")
	broken, apart, worst := map[string]int{}, map[string]int{}, map[string]float64{}
	days, mutants, found := 0, 0, 0
	for _, p := range points {
		r.Row(p.Name, p.Days, counted(p.Broken), counted(p.Apart), timed(p.Worst), p.Mutants, p.Found)
		days, mutants, found = days+p.Days, mutants+p.Mutants, found+p.Found
		for k, n := range p.Broken {
			broken[k] += n
		}
		for k, n := range p.Apart {
			apart[k] += n
		}
		for k, s := range p.Worst {
			worst[k] = max(worst[k], s)
		}
		sum := 0
		for _, n := range p.Broken {
			sum += n
		}
		for _, line := range p.Lines {
			r.Rule(false, "%s: %s", p.Name, line)
		}
		r.Rule(sum == 0 || len(p.Lines) > 0, "%s: %s", p.Name, counted(p.Broken))
		r.Rule(p.Found == p.Mutants, "%s: %d of %d mutants found", p.Name, p.Found, p.Mutants)
	}
	for k, n := range broken {
		r.Figure[k] = n
	}
	for k, s := range worst {
		r.Figure[k] = math.Round(s*1e3) / 1e3
	}
	missing := slices.DeleteFunc(slices.Concat(controlKeys, controlWorst), func(k string) bool { _, is := r.Figure[k]; return is })
	r.Figure["days"], r.Figure["mutants"], r.Figure["mutants_found"], r.Figure["apart"] = days, mutants, found, apart
	r.Figure["not_judged"] = append([]string{}, missing...)
	return r
}

// counted tells what is not 0.
func counted(all map[string]int) string {
	var words []string
	for _, k := range slices.Sorted(maps.Keys(all)) {
		if n := all[k]; n != 0 {
			words = append(words, fmt.Sprintf("%s %d", k, n))
		}
	}
	if len(words) == 0 {
		return "0"
	}
	return strings.Join(words, ", ")
}

func timed(all map[string]float64) string {
	var words []string
	for _, k := range slices.Sorted(maps.Keys(all)) {
		words = append(words, fmt.Sprintf("%s %.3g", k, all[k]))
	}
	return strings.Join(words, ", ")
}
