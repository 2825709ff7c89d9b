package sysconfig

import (
	"slices"
	"strings"
	"testing"
)

// The lists that a table makes once are what a look at everything finds.
func TestLists(t *testing.T) {
	text := strings.Replace(example(t), `"Principals":[`, `"Principals":[{"Name":"a","Credentials":["k1","k2"],"Rank":9},{"Name":"b","Credentials":["k3"],"Rank":1},`, 1)
	text = strings.Replace(text, `"Share":90},{"Backend":"lovo22d","Share":10`, `"Share":90},{"Backend":"lovo22d","Share":10},{"Backend":"lovo22d","Share":5},{"Backend":"wuno96b","Share":0`, 1)
	c, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	tab := c.Table()
	for name := range tab.Services {
		var want []*Route
		for _, r := range tab.Routes() {
			if slices.ContainsFunc(r.Backends, func(w Weighted) bool { return w.Service == name && w.Share > 0 }) {
				want = append(want, r)
			}
		}
		if got := tab.RoutesTo(name); !slices.Equal(got, want) {
			t.Errorf("%s: %d routes, want %d", name, len(got), len(want))
		}
	}
	if n := len(tab.Routes()); n != 2 {
		t.Errorf("%d routes", n)
	}
	var names []string
	for _, tenant := range tab.Tenants() {
		names = append(names, tenant.Name)
	}
	if want := []string{"a", "b", "cuka620"}; !slices.Equal(names, want) {
		t.Errorf("tenants %v, want %v", names, want)
	}
	for _, r := range tab.Routes() {
		want := []int{r.Rank}
		for _, tenant := range tab.Tenants() {
			if tenant.Rank != nil && !slices.Contains(want, *tenant.Rank) {
				want = append(want, *tenant.Rank)
			}
		}
		slices.Sort(want)
		if got := tab.Ranks(r); !slices.Equal(got, want) {
			t.Errorf("%s: ranks %v, want %v", r.Name, got, want)
		}
	}
}
