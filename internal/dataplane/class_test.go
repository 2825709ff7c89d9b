package dataplane

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"asterwell/choice"
	"asterwell/internal/sysconfig"
)

// drawRoutes draws a valid configuration whose routes share names, hosts and parts of prefixes, and may have none.
func drawRoutes(t *rapid.T, version int) *sysconfig.Table {
	type object = map[string]any
	sockets, taken := []object{}, map[string]bool{}
	for i := range rapid.IntRange(1, 3).Draw(t, "hosts") {
		host := rapid.SampledFrom([]string{"", "a", "A:80", "a/b", `a"`, "a /b"}).Draw(t, "host")
		rules := []object{}
		for j := range rapid.IntRange(0, 4).Draw(t, "routes") {
			prefix := rapid.SampledFrom([]string{"/", "/b", "/b/c", "/c", `/"/c`, "/b /c"}).Draw(t, "prefix")
			if key := fmt.Sprintf("%q %q", sysconfig.Host(host), prefix); taken[key] {
				continue
			} else {
				taken[key] = true
			}
			rules = append(rules, object{
				"Name":       rapid.SampledFrom([]string{"", "x", "y", "x#1"}).Draw(t, "name"),
				"RouteClass": rapid.SampledFrom([]string{"pure", "effectful", "later"}).Draw(t, "class"), "Rank": rapid.IntRange(0, 11).Draw(t, "rank"),
				"TargetMs": 100 + 10*i + j, "Predicate": object{"PathPrefix": prefix}, "Effect": object{"Backend": "s", "DeadlineMs": 500 + 10*i + j, "Tries": 1 + j},
			})
		}
		sockets = append(sockets, object{"Authority": host, "Policy": rules})
	}
	text, err := json.Marshal(object{"Epoch": fmt.Sprintf("%08x", version), "Sockets": sockets, "Pools": []object{{"Name": "s"}},
		"Principals": []object{{"Name": "t", "Credentials": []string{"k"}, "Rank": rapid.IntRange(0, 11).Draw(t, "tenant's rank")}}})
	if err != nil {
		t.Fatal(err)
	}
	c, err := sysconfig.Parse(text)
	if err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	return c.Table()
}

// effectOf returns whether requests of a route may be repeated.
func effectOf(r *sysconfig.Route) choice.Effect {
	if r.Class == sysconfig.Pure {
		return choice.Retryable
	}
	return choice.NonRetryable
}

// TestClassesBelongToOneRoute: requests of an effectful route got the class of a pure route with the same name, and were
// hedged and run twice. The class of a request has its own route's effect, times and attempts, whatever routes are called.
func TestClassesBelongToOneRoute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(Options{Now: func() time.Duration { return time.Hour }})
		table, next := drawRoutes(t, 1), drawRoutes(t, 2)
		settings, later := p.laneSettings(table, "s"), p.laneSettings(next, "s")
		for _, r := range table.RoutesTo("s") {
			for _, rank := range table.Ranks(r) {
				name := className(r, rank)
				same := slices.DeleteFunc(slices.Clone(settings.Classes), func(c choice.Class) bool { return c.Name != name })
				if len(same) != 1 {
					t.Fatalf("%+v, rank %d: %d classes are called %s", r, rank, len(same), name)
				}
				if c := same[0]; c.Effect != effectOf(r) || c.Target != r.Target || c.Deadline != r.Deadline || c.MaxAttempts != r.Tries || c.Value != float64(max(1, 4-rank)) {
					t.Fatalf("%+v, rank %d: %+v", r, rank, c)
				}
				for _, c := range later.Classes { // an open request, decided after the next configuration was adopted
					if c.Name == name && c.Effect != effectOf(r) {
						t.Fatalf("%+v, rank %d: %+v in the next configuration", r, rank, c)
					}
				}
			}
		}
	})
}
