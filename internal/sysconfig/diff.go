package sysconfig

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Change is one element that differs between two configurations.
type Change struct {
	Kind    string   // limit, route, pool, tenant, rollout
	Name    string   // the display name
	Key     string   // its path in the new configuration, or in the old one if it was removed
	How     string   // added, removed, changed
	Figures []Figure `json:",omitempty"` // the values that differ in a changed element
}

// Figure is a value that differs. It never holds the whole API key of a tenant.
type Figure struct{ Key, Old, New string }

// element is a part of a configuration that is identified by its kind and ID.
type element struct {
	kind, id, name, key string
	figures             map[string]string
	credentials         []string
}

// Diff returns the differences between two configurations that affect a gateway. It ignores
// the order of elements and of tenants' keys, and the notation of numbers.
func Diff(old, next *Configuration) []Change {
	before, after := old.elements(), next.elements()
	changes := []Change{}
	for _, t := range after {
		o, ok := findElement(before, t)
		if !ok {
			changes = append(changes, Change{Kind: t.kind, Name: t.name, Key: t.key, How: "added"})
		} else if figures := t.changedFigures(o); len(figures) > 0 {
			changes = append(changes, Change{Kind: t.kind, Name: t.name, Key: t.key, How: "changed", Figures: figures})
		}
	}
	for _, o := range before {
		if _, ok := findElement(after, o); !ok {
			changes = append(changes, Change{Kind: o.kind, Name: o.name, Key: o.key, How: "removed"})
		}
	}
	order := []string{"limit", "route", "pool", "tenant", "rollout"}
	slices.SortStableFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(slices.Index(order, a.Kind), slices.Index(order, b.Kind)), cmp.Compare(a.Name, b.Name))
	})
	return changes
}

// findElement looks up the element with the kind and ID of t.
func findElement(all map[string]*element, t *element) (*element, bool) {
	o, ok := all[t.kind+" "+t.id]
	return o, ok
}

// elements returns everything that can differ, by kind and ID. If several elements have the
// same ID, a number is appended to those after the first.
func (c *Configuration) elements() map[string]*element {
	all := map[string]*element{}
	add := func(kind, id, name, key string, value any) *element {
		t := &element{kind: kind, id: id, name: name, key: key, figures: leafValues(value)}
		for n := 2; all[kind+" "+t.id] != nil; n++ {
			t.id, t.name = fmt.Sprintf("%s #%d", id, n), fmt.Sprintf("%s #%d", name, n)
		}
		all[kind+" "+t.id] = t
		return t
	}
	add("limit", "", "BoundsReq", "BoundsReq", c.BoundsReq)
	for i, s := range c.Sockets {
		for j, r := range s.Policy {
			place := Host(s.Authority) + r.Predicate.PathPrefix
			add("route", place, strings.TrimSpace(r.Name+" "+place), routeKey(i, j), r)
		}
	}
	for i, p := range c.Pools {
		add("pool", p.Name, p.Name, fmt.Sprintf("Pools[%d]", i), p)
	}
	for i, p := range c.Principals {
		withoutKeys := p
		withoutKeys.Credentials = nil
		add("tenant", p.Name, p.Name, fmt.Sprintf("Principals[%d]", i), withoutKeys).credentials = p.Credentials
	}
	if c.Rollout != nil && *c.Rollout != (Rollout{}) {
		add("rollout", "", "Rollout", "Rollout", c.Rollout)
	}
	return all
}

// changedFigures returns the values that differ from the older version of an element.
func (t *element) changedFigures(o *element) (figures []Figure) {
	keys := maps.Clone(o.figures)
	maps.Copy(keys, t.figures)
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		if before, after := o.figures[k], t.figures[k]; before != after {
			figures = append(figures, Figure{k, before, after})
		}
	}
	for i, s := range o.credentials {
		if !slices.Contains(t.credentials, s) {
			figures = append(figures, Figure{Key: fmt.Sprintf("Credentials[%d]", i), Old: Masked(s)})
		}
	}
	for i, s := range t.credentials {
		if !slices.Contains(o.credentials, s) {
			figures = append(figures, Figure{Key: fmt.Sprintf("Credentials[%d]", i), New: Masked(s)})
		}
	}
	return figures
}

// Masked returns a key in a form that can be shown: its owner recognizes it, but nobody can
// use it.
func Masked(key string) string {
	return fmt.Sprintf("%s… (%d bytes)", key[:min(4, len(key)/4)], len(key))
}

// leafValues returns the leaves of the JSON form of a value by their paths within it.
func leafValues(value any) map[string]string {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // a bug: only types of this package are encoded
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var tree any
	if err := d.Decode(&tree); err != nil {
		panic(err)
	}
	all := map[string]string{}
	collectLeaves("", tree, all)
	return all
}

// collectLeaves adds the leaves of a decoded JSON tree by their paths.
func collectLeaves(path string, tree any, leaves map[string]string) {
	switch t := tree.(type) {
	case map[string]any:
		for k, v := range t {
			collectLeaves(strings.TrimPrefix(path+"."+k, "."), v, leaves)
		}
	case []any:
		for i, v := range t {
			collectLeaves(fmt.Sprintf("%s[%d]", path, i), v, leaves)
		}
	case nil:
	default:
		leaves[path] = fmt.Sprint(t)
	}
}

// MarshalJSON writes the form that UnmarshalJSON reads.
func (r Rollout) MarshalJSON() ([]byte, error) {
	text := struct {
		Mode     string
		Confirm  any
		WithinMs float64 `json:",omitempty"`
		Reads    string  `json:",omitempty"`
	}{"each", "all", math.Round(r.Within.Seconds() * 1e3), ""}
	if r.Together {
		text.Mode = "together"
	}
	if r.Reads {
		text.Reads = "live"
	}
	if r.Confirm > 0 {
		text.Confirm = r.Confirm
	}
	return json.Marshal(text)
}
