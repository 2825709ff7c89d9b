package adminclient

import (
	"fmt"
	"slices"
	"strings"

	"github.com/samber/lo"

	"asterwell/internal/rollout"
)

// Progress is how far a version's rollout is: lines for people, and once it has ended how.
type Progress struct {
	Lines []string
	Ended bool
	Err   error // of the end; nil: live
}

// Progress tells it of one version, by zone and node.
func (s *Status) Progress(version uint32) (p Progress) {
	r, name := &s.Rollout, fmt.Sprintf("%08x", version)
	say := func(form string, args ...any) { p.Lines = append(p.Lines, fmt.Sprintf(form, args...)) }
	switch {
	case r.Live == version:
		p.Ended = true
		up := lo.Filter(s.Nodes, func(n Node, _ int) bool { return n.State == "up" })
		late := lo.FilterMap(up, func(n Node, _ int) (string, bool) { return n.Name, n.Held < version })
		if say("%s is live", name); len(late) > 0 {
			say("%d of %d nodes have not told that they go by it: %s", len(late), len(up), strings.Join(sortedNames(late), " "))
		}
		return p
	case version < r.Newest:
		return Progress{Ended: true, Err: &Overtaken{Sent: name, Held: fmt.Sprintf("%08x", r.Newest), Kept: true}}
	case version > r.Newest:
		say("%s is not kept yet, the newest is %08x", name, r.Newest)
		return p
	case r.Fate == "withdrawn":
		return Progress{Ended: true, Err: &Otherwise{name, "withdrawn: " + r.Why}}
	}
	say("%s %s; %s, %s", name, r.Fate, r.Stage, lo.Ternary(r.Enough, "enough have confirmed", "too few have confirmed"))
	if !r.Leads {
		say("the primary is not known, and only it knows the nodes")
		return p
	}
	refused := lo.SliceToMap(r.Refused, func(x rollout.Refusal) (string, string) { return x.Name, x.Why })
	zones := lo.GroupBy(lo.Filter(s.Nodes, func(n Node, _ int) bool { return n.State == "up" }), func(n Node) string { return n.Zone })
	for _, z := range sorted(zones) {
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
		say("  zone %s: %s", z, strings.Join(append([]string{fmt.Sprintf("%d of %d confirmed", confirmed, len(names))}, parts...), "; "))
	}
	return p
}

func sortedNames(all []string) []string {
	slices.Sort(all)
	return all
}
