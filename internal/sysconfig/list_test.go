package sysconfig

import (
	"slices"
	"strings"
	"testing"
)

// Compares the lists that a table computes once with those found by a scan of everything.
func TestLists(t *testing.T) {
	text := strings.Replace(exampleConfiguration(t), `"Principals":[`, `"Principals":[{"Name":"a","Credentials":["k1","k2"],"Rank":9},{"Name":"b","Credentials":["k3"],"Rank":1},`, 1)
	text = strings.Replace(text, `"Share":90},{"Backend":"lovo22d","Share":10`, `"Share":90},{"Backend":"lovo22d","Share":10},{"Backend":"lovo22d","Share":5},{"Backend":"wuno96b","Share":0`, 1)
	c, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	table := c.Table()
	for name := range table.Services {
		var want []*Route
		for _, r := range table.Routes() {
			if slices.ContainsFunc(r.Backends, func(w Weighted) bool { return w.Service == name && w.Share > 0 }) {
				want = append(want, r)
			}
		}
		if got := table.RoutesTo(name); !slices.Equal(got, want) {
			t.Errorf("%s: %d routes, want %d", name, len(got), len(want))
		}
	}
	if n := len(table.Routes()); n != 2 {
		t.Errorf("got %d routes, want 2", n)
	}
	var names []string
	for _, tenant := range table.Tenants() {
		names = append(names, tenant.Name)
	}
	if want := []string{"a", "b", "cuka620"}; !slices.Equal(names, want) {
		t.Errorf("tenants %v, want %v", names, want)
	}
	for _, r := range table.Routes() {
		want := []int{r.Rank}
		for _, tenant := range table.Tenants() {
			if tenant.Rank != nil && !slices.Contains(want, *tenant.Rank) {
				want = append(want, *tenant.Rank)
			}
		}
		slices.Sort(want)
		if got := table.Ranks(r); !slices.Equal(got, want) {
			t.Errorf("%s: ranks %v, want %v", r.Name, got, want)
		}
	}
}
