package creed

import (
	"cmp"
	"slices"
)

// Routes are all routes, in an order that stays.
func (t *Table) Routes() (all []*Route) {
	for _, routes := range t.hosts {
		all = append(all, routes...)
	}
	slices.SortFunc(all, func(a, b *Route) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Prefix, b.Prefix)) })
	return all
}

// Tenants are all tenants by name.
func (t *Table) Tenants() (all []*Tenant) {
	for _, tenant := range t.tenants {
		if !slices.Contains(all, tenant) {
			all = append(all, tenant)
		}
	}
	slices.SortFunc(all, func(a, b *Tenant) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Ranks are those that a route's requests may have: its own, or their tenant's.
func (t *Table) Ranks(r *Route) []int {
	ranks := []int{r.Rank}
	for _, tenant := range t.tenants {
		if tenant.Rank != nil && !slices.Contains(ranks, *tenant.Rank) {
			ranks = append(ranks, *tenant.Rank)
		}
	}
	slices.Sort(ranks)
	return ranks
}
