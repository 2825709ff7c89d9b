package bench

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"asterwell/internal/faultrules"
	"asterwell/internal/faultrules/world"
	"asterwell/internal/systemsim"
)

// Keys of what a cut may break.
const (
	staleAnswers     = "stale_answers"
	refusedAgain     = "refused_again"
	acknowledgedLost = "acknowledged_lost"
	otherRules       = "other_rules"
	healedMost       = "healed_s_max"
)

// cutSeeds is how many times each scenario is played, and each guard taken out.
const cutSeeds = 3

// cutGuards are the guards that cuts need, each with the scenario that misses it.
var cutGuards = []struct {
	bug      systemsim.Bug
	scenario string
	rules    string
}{
	{systemsim.Unread, "thaw", "CONTACT STALE LOST"},
	{systemsim.Unvouched, "gateway", "PROMISE"},
	{systemsim.Straight, "deaf", "EXPECT"},
	{systemsim.Unmet, "restart", "READY"},
	{systemsim.Unfenced, "late", "EXPECT"},
}

// controlCut plays machines that are cut off for some twenty seconds: the scenarios, so many
// drawn days, and the scenarios with each guard taken out.
func controlCut(days int, seed uint64) (ControlPoint, error) {
	p := ControlPoint{Name: "cut", Days: days, Broken: map[string]int{staleAnswers: 0, refusedAgain: 0, acknowledgedLost: 0, otherRules: 0},
		Worst: map[string]float64{healedMost: 0}}
	scripts := systemsim.ControlScripts()
	names := slices.Sorted(maps.Keys(scripts))
	if len(names) == 0 {
		return p, fmt.Errorf("there are no scenarios of cuts")
	}
	type play struct {
		name, script string
		seed         uint64
	}
	var plays []play
	for _, name := range names {
		for s := range uint64(cutSeeds) {
			plays = append(plays, play{"scenario " + name, scripts[name], s})
		}
	}
	for s := seed; s < seed+uint64(days); s++ {
		plays = append(plays, play{"drawn day", systemsim.DrawCut(s), s})
	}
	all := make([]systemsim.Stats, len(plays))
	found := make([]bool, len(cutGuards)+1)
	sideAll(each(len(found), func(i int) { found[i] = cutFinds(i, scripts) }),
		each(len(plays), func(i int) { all[i] = systemsim.Run(plays[i].script, plays[i].seed, systemsim.Sound, nil) }))
	for i, s := range all {
		for _, d := range s.Heals {
			p.Worst[healedMost] = max(p.Worst[healedMost], d.Seconds())
		}
		if s.Broken != "" {
			p.Broken[cutKey(s)]++
			p.Lines = append(p.Lines, plays[i].name+": "+s.String())
		}
	}
	for i, ok := range found {
		if p.Mutants++; ok {
			p.Found++
		} else if i < len(cutGuards) {
			p.Lines = append(p.Lines, "guard "+cutGuards[i].bug.String()+" taken out: not met")
		} else {
			p.Lines = append(p.Lines, "guard unasked taken out: not met")
		}
	}
	return p, nil
}

// cutFinds takes one guard out. The last is that of fault rules, which only a primary meets that
// knows nothing of its successor.
func cutFinds(i int, scripts map[string]string) bool {
	if i == len(cutGuards) {
		w, taken := world.Deposed(faultrules.Unconfirmed)
		sound, _ := world.Deposed(faultrules.NoBug)
		return taken && w.Broken == "STALE" && sound.Broken == ""
	}
	g := cutGuards[i]
	for s := range uint64(cutSeeds) {
		if by := systemsim.Run(scripts[g.scenario], s, g.bug, nil).Broken; by != "" && strings.Contains(g.rules, by) {
			return true
		}
	}
	return false
}

// cutKey is what a broken rule counts as.
func cutKey(s systemsim.Stats) string {
	switch {
	case s.Broken == "LOST" && strings.Contains(s.Detail, " reads version "), s.Broken == "STALE", s.Broken == "CONTACT",
		s.Broken == "CONFIG", s.Broken == "READY" && strings.Contains(s.Detail, "since it was started"):
		return staleAnswers
	case s.Broken == "REFUSED":
		return refusedAgain
	case s.Broken == "PROMISE", s.Broken == "DRAIN", s.Broken == "LOST":
		return acknowledgedLost
	}
	return otherRules
}
