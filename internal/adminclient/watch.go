package adminclient

import (
	"fmt"
	"slices"
	"strings"

	"github.com/samber/lo"

	"asterwell/internal/rollout"
)

// Progress is the progress of a version's rollout: lines to print, and the result once it has ended.
type Progress struct {
	Lines []string
	Ended bool
	Err   error // why the version did not go live; nil if it did
}

// Progress describes the rollout of a version, by zone and node.
func (s *Status) Progress(version uint32) (p Progress) {
	r, name := &s.Rollout, fmt.Sprintf("%08x", version)
	addLine := func(form string, args ...any) { p.Lines = append(p.Lines, fmt.Sprintf(form, args...)) }
	switch {
	case r.Live == version:
		p.Ended = true
		up := lo.Filter(s.Nodes, func(n Node, _ int) bool { return n.State == "up" })
		late := lo.FilterMap(up, func(n Node, _ int) (string, bool) { return n.Name, n.Held < version })
		if addLine("%s is live", name); len(late) > 0 {
			addLine("%d of %d nodes have not told that they go by it: %s", len(late), len(up), strings.Join(sortedNames(late), " "))
		}
		return p
	case version < r.Newest:
		return Progress{Ended: true, Err: &Overtaken{Sent: name, Held: fmt.Sprintf("%08x", r.Newest), Kept: true}}
	case version > r.Newest:
		addLine("%s is not kept yet, the newest is %08x", name, r.Newest)
		return p
	case r.Fate == "withdrawn":
		return Progress{Ended: true, Err: &OutcomeError{name, "withdrawn: " + r.Why}}
	}
	addLine("%s %s; %s, %s", name, r.Fate, r.Stage, lo.Ternary(r.Enough, "enough have confirmed", "too few have confirmed"))
	if !r.Leads {
		addLine("the primary is not known, and only it knows the nodes")
		return p
	}
	refused := lo.SliceToMap(r.Refused, func(x rollout.Refusal) (string, string) { return x.Name, x.Why })
	zones := lo.GroupBy(lo.Filter(s.Nodes, func(n Node, _ int) bool { return n.State == "up" }), func(n Node) string { return n.Zone })
	for _, z := range sortedKeys(zones) {
		confirmed, parts := 0, []string{}
		names := sortedNames(lo.Map(zones[z], func(n Node, _ int) string { return n.Name }))
		for what, is := range []func(string) string{
			func(n string) string { return lo.Ternary(slices.Contains(r.Missing, n), n, "") },
			func(n string) string { return lo.Ternary(refused[n] != "", n+" ("+refused[n]+")", "") },
			func(n string) string { return lo.Ternary(slices.Contains(r.Lapsed, n), n, "") },
		} {
			if those := lo.FilterMap(names, func(n string, _ int) (string, bool) { t := is(n); return t, t != "" }); len(those) > 0 {
				parts = append(parts, [...]string{"nothing yet", "refused", "without a lease"}[what]+": "+strings.Join(those, " "))
			}
		}
		for _, n := range names {
			if slices.Contains(r.Prepared, n) {
				confirmed++
			}
		}
		addLine("  zone %s: %s", z, strings.Join(append([]string{fmt.Sprintf("%d of %d confirmed", confirmed, len(names))}, parts...), "; "))
	}
	return p
}

func sortedNames(all []string) []string {
	slices.Sort(all)
	return all
}
