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

// Change is one thing that two configurations have otherwise.
type Change struct {
	Kind    string   // limit, route, pool, tenant, rollout
	Name    string   // as people call it
	Key     string   // its place in the text: of the new one, or the old one where it was removed
	How     string   // added, removed, changed
	Figures []Figure `json:",omitempty"` // of what has changed
}

// Figure is a figure that has changed. No key of a tenant is whole in it.
type Figure struct{ Key, Old, New string }

// thing is a part of a configuration that has a name among its kind.
type thing struct {
	kind, id, name, key string
	figures             map[string]string
	secrets             []string
}

// Diff tells in what two configurations differ, as a gateway understands them: the order
// of things and of tenants' keys does not count, nor does how a figure is written.
func Diff(old, next *Configuration) []Change {
	was, is := old.things(), next.things()
	all := []Change{}
	for _, t := range is {
		o, ok := find(was, t)
		if !ok {
			all = append(all, Change{Kind: t.kind, Name: t.name, Key: t.key, How: "added"})
		} else if parts := t.against(o); len(parts) > 0 {
			all = append(all, Change{Kind: t.kind, Name: t.name, Key: t.key, How: "changed", Figures: parts})
		}
	}
	for _, o := range was {
		if _, ok := find(is, o); !ok {
			all = append(all, Change{Kind: o.kind, Name: o.name, Key: o.key, How: "removed"})
		}
	}
	order := []string{"limit", "route", "pool", "tenant", "rollout"}
	slices.SortStableFunc(all, func(a, b Change) int {
		return cmp.Or(cmp.Compare(slices.Index(order, a.Kind), slices.Index(order, b.Kind)), cmp.Compare(a.Name, b.Name))
	})
	return all
}

func find(all map[string]*thing, t *thing) (*thing, bool) {
	o, ok := all[t.kind+" "+t.id]
	return o, ok
}

// things are all that can differ. Of two with one name the second is called so.
func (c *Configuration) things() map[string]*thing {
	all := map[string]*thing{}
	add := func(kind, id, name, key string, of any) *thing {
		t := &thing{kind: kind, id: id, name: name, key: key, figures: figures(of)}
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
		bare := p
		bare.Credentials = nil
		add("tenant", p.Name, p.Name, fmt.Sprintf("Principals[%d]", i), bare).secrets = p.Credentials
	}
	if c.Rollout != nil && *c.Rollout != (Rollout{}) {
		add("rollout", "", "Rollout", "Rollout", c.Rollout)
	}
	return all
}

// against is what a thing has otherwise than its older self.
func (t *thing) against(o *thing) (parts []Figure) {
	keys := maps.Clone(o.figures)
	maps.Copy(keys, t.figures)
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		if was, is := o.figures[k], t.figures[k]; was != is {
			parts = append(parts, Figure{k, was, is})
		}
	}
	for i, s := range o.secrets {
		if !slices.Contains(t.secrets, s) {
			parts = append(parts, Figure{Key: fmt.Sprintf("Credentials[%d]", i), Old: Masked(s)})
		}
	}
	for i, s := range t.secrets {
		if !slices.Contains(o.secrets, s) {
			parts = append(parts, Figure{Key: fmt.Sprintf("Credentials[%d]", i), New: Masked(s)})
		}
	}
	return parts
}

// Masked is a key as it may be shown: who has it knows it again, nobody else can use it.
func Masked(key string) string {
	return fmt.Sprintf("%s… (%d bytes)", key[:min(4, len(key)/4)], len(key))
}

// figures are the leaves of a value, by their path below it.
func figures(of any) map[string]string {
	text, err := json.Marshal(of)
	if err != nil {
		panic(err) // a bug: the types are our own
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var tree any
	if err := d.Decode(&tree); err != nil {
		panic(err)
	}
	all := map[string]string{}
	leaves("", tree, all)
	return all
}

func leaves(path string, tree any, to map[string]string) {
	switch t := tree.(type) {
	case map[string]any:
		for k, v := range t {
			leaves(strings.TrimPrefix(path+"."+k, "."), v, to)
		}
	case []any:
		for i, v := range t {
			leaves(fmt.Sprintf("%s[%d]", path, i), v, to)
		}
	case nil:
	default:
		to[path] = fmt.Sprint(t)
	}
}

// MarshalJSON writes what UnmarshalJSON reads.
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
