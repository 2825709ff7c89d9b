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

// HasRoute tells whether a route has this name.
func (t *Table) HasRoute(name string) bool {
	return slices.ContainsFunc(t.Routes(), func(r *Route) bool { return r.Name == name })
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

// TenantNamed finds a tenant by name, or nil. It looks through all.
func (t *Table) TenantNamed(name string) *Tenant {
	for _, tenant := range t.tenants {
		if tenant.Name == name {
			return tenant
		}
	}
	return nil
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
