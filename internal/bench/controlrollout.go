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
	add := func(where string, play func() []world.Violation) {
		jobs = append(jobs, func() { r.broke(where, play()) })
	}
	for i, at := range []time.Duration{0, 7 * time.Millisecond, 13 * time.Millisecond, time.Second} {
		jobs = append(jobs, func() { r.cutOffs(seed+uint64(i), at) })
	}
	for s := seed; s < seed+8; s++ {
		add(fmt.Sprintf("the core stands still in a hold, seed %d", s), func() []world.Violation { return world.FreezeDuringHold(s, 0) })
		add(fmt.Sprintf("a late wish, seed %d", s), func() []world.Violation { return world.DelayedWithdrawal(s, 0) })
		add(fmt.Sprintf("orders again, seed %d", s), func() []world.Violation { return world.RepeatedOrders(s, 0) })
	}
	for i := range days {
		o := world.Options{Seed: seed + uint64(i), Nodes: []int{11, 5, 30}[i%3], RepeatOrders: i%2 == 0}
		add(fmt.Sprintf("day of %d nodes, seed %d, again: %v", o.Nodes, o.Seed, o.RepeatOrders), func() []world.Violation { return world.Simulate(o).Violations })
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

func (r *rolloutPoint) broke(where string, all []world.Violation) {
	r.Lock()
	defer r.Unlock()
	for _, b := range all {
		r.ControlPoint.Broken[rolloutKeys[b.Rule]]++
		r.Lines = append(r.Lines, fmt.Sprintf("rollout: %s: %v", where, b))
	}
}

func (r *rolloutPoint) cutOffs(seed uint64, at time.Duration) {
	for _, c := range world.PartitionPrimary(seed, at, 0) {
		r.broke(fmt.Sprintf("the primary cut %s, %v after a put, seed %d", c.Name, at, seed), c.Violations)
		r.Lock()
		r.Worst["healed_s_max"] = max(r.Worst["healed_s_max"], c.RecoveredAfter.Seconds())
		r.Unlock()
	}
}

// rolloutMutant is a guard that is taken out, and what is to meet it.
type rolloutMutant struct {
	name  string
	bug   rollout.Bug
	seeds int // at most
	play  func(seed uint64, bug rollout.Bug) []world.Violation
}

var rolloutMutants = []rolloutMutant{
	{"a hold in which all leases ran out counts", rollout.BugEmptyHoldCounts, 10, world.FreezeDuringHold},
	{"withdrawn versions are forgotten", rollout.BugForgetWithdrawn, 3, world.RepeatedOrders},
	{"a wish withdraws what came after it", rollout.BugIgnoreFence, 3, world.DelayedWithdrawal},
	{"absent without the writers' word", rollout.BugAbsentUnconfirmed, 5, cutOffMutant},
	{"leases without the writers' word", rollout.BugGrantUnconfirmed, 10, cutOffMutant},
	{"one confirmation short is enough", rollout.BugOneConfirmationShort, 300, dayMutant},
	{"the turn does not wait for leases", rollout.BugTurnIgnoresLeases, 300, dayMutant},
	{"confirmed before it is held", rollout.BugConfirmBeforeHeld, 300, dayMutant},
	{"a successor does not wait out leases", rollout.BugSuccessorSkipsWait, 300, dayMutant},
	{"a withdrawal is told before it is kept", rollout.BugReplyBeforeKept, 300, dayMutant},
}

func cutOffMutant(seed uint64, bug rollout.Bug) []world.Violation {
	for _, c := range world.PartitionPrimary(seed, 11*time.Millisecond, bug) {
		if len(c.Violations) > 0 {
			return c.Violations
		}
	}
	return nil
}

func dayMutant(seed uint64, bug rollout.Bug) []world.Violation {
	return world.Simulate(world.Options{Seed: seed, Bug: bug}).Violations
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
