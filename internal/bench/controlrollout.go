package bench

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"asterwell/internal/rollout"
	"asterwell/internal/rollout/world"
)

// rolloutKeys are the keys of the report that a rule of the world's judge counts under.
var rolloutKeys = map[string]string{"FEW": "few_confirmed", "HELD": "few_confirmed", "AGAIN": "refused_again", "TOLD": "refused_again",
	"ALONE": "stale_answers", "MIXED": "stale_answers", "DEAD": "stale_answers", "SPLIT": "stale_answers",
	"LOST": "acknowledged_lost", "LATE": "acknowledged_lost", "STUCK": "never_caught_up"}

// controlRollout plays configurations that all nodes take up together: cuts of 20 s, a core that
// stands still in a turn, orders sent again, and drawn days at 5, 11 and 30 nodes in which operators
// send the same orders again; then the same without each of the guards.
func controlRollout(days int, seed uint64) (ControlPoint, error) {
	r := &rolloutPoint{ControlPoint: ControlPoint{Name: "rollout", Days: days, Broken: map[string]int{}, Worst: map[string]float64{"healed_s_max": 0}}}
	for _, key := range rolloutKeys {
		r.Broken[key] = 0
	}
	var jobs []func()
	add := func(where string, play func() []world.Broken) {
		jobs = append(jobs, func() { r.broke(where, play()) })
	}
	for i, at := range []time.Duration{0, 7 * time.Millisecond, 13 * time.Millisecond, time.Second} {
		jobs = append(jobs, func() { r.cutOffs(seed+uint64(i), at) })
	}
	for s := seed; s < seed+8; s++ {
		add(fmt.Sprintf("the core stands still in a hold, seed %d", s), func() []world.Broken { return world.StillHold(s, 0) })
		add(fmt.Sprintf("a late wish, seed %d", s), func() []world.Broken { return world.LateWish(s, 0) })
		add(fmt.Sprintf("orders again, seed %d", s), func() []world.Broken { return world.OrdersAgain(s, 0) })
	}
	for i := range days {
		o := world.Options{Seed: seed + uint64(i), Nodes: []int{11, 5, 30}[i%3], Again: i%2 == 0}
		add(fmt.Sprintf("day of %d nodes, seed %d, again: %v", o.Nodes, o.Seed, o.Again), func() []world.Broken { return world.Play(o).Broken })
	}
	for _, m := range rolloutMutants {
		r.Mutants++
		jobs = append(jobs, func() { r.hunt(m, seed) })
	}
	slices.Reverse(jobs) // mutants take longest
	sideAll(jobs)
	return r.ControlPoint, nil
}

type rolloutPoint struct {
	sync.Mutex
	ControlPoint
}

func (r *rolloutPoint) broke(where string, all []world.Broken) {
	r.Lock()
	defer r.Unlock()
	for _, b := range all {
		r.ControlPoint.Broken[rolloutKeys[b.Rule]]++
		r.Lines = append(r.Lines, fmt.Sprintf("rollout: %s: %v", where, b))
	}
}

func (r *rolloutPoint) cutOffs(seed uint64, at time.Duration) {
	for _, c := range world.CutOffs(seed, at, 0) {
		r.broke(fmt.Sprintf("the primary cut %s, %v after a put, seed %d", c.Name, at, seed), c.Broken)
		r.Lock()
		r.Worst["healed_s_max"] = max(r.Worst["healed_s_max"], c.Healed.Seconds())
		r.Unlock()
	}
}

// rolloutMutant is a guard that is taken out, and what is to meet it.
type rolloutMutant struct {
	name  string
	bug   rollout.Bug
	seeds int // at most
	play  func(seed uint64, bug rollout.Bug) []world.Broken
}

var rolloutMutants = []rolloutMutant{
	{"a hold in which all leases ran out counts", rollout.Vacuous, 10, world.StillHold},
	{"withdrawn versions are forgotten", rollout.Forgetful, 3, world.OrdersAgain},
	{"a wish withdraws what came after it", rollout.Unfenced, 3, world.LateWish},
	{"absent without the writers' word", rollout.Cocksure, 5, cutOffMutant},
	{"leases without the writers' word", rollout.Unaffirmed, 10, cutOffMutant},
	{"one confirmation short is enough", rollout.Early, 300, dayMutant},
	{"the turn does not wait for leases", rollout.Impatient, 300, dayMutant},
	{"confirmed before it is held", rollout.Careless, 300, dayMutant},
	{"a successor does not wait out leases", rollout.Successor, 300, dayMutant},
	{"a withdrawal is told before it is kept", rollout.Hasty, 300, dayMutant},
}

func cutOffMutant(seed uint64, bug rollout.Bug) []world.Broken {
	for _, c := range world.CutOffs(seed, 11*time.Millisecond, bug) {
		if len(c.Broken) > 0 {
			return c.Broken
		}
	}
	return nil
}

func dayMutant(seed uint64, bug rollout.Bug) []world.Broken {
	return world.Play(world.Options{Seed: seed, Bug: bug}).Broken
}

// hunt plays until the judge meets the mutant by more than that somebody is stuck.
func (r *rolloutPoint) hunt(m rolloutMutant, seed uint64) {
	for s := seed; s < seed+uint64(m.seeds); s++ {
		if all := m.play(s, m.bug); len(all) > 0 && all[0].Rule != "STUCK" {
			r.Lock()
			r.Found++
			r.Unlock()
			return
		}
	}
	r.Lock()
	r.Lines = append(r.Lines, fmt.Sprintf("rollout: mutant not found in %d: %s", m.seeds, m.name))
	r.Unlock()
}
