package sysconfig

import (
	"cmp"
	"slices"
)

// Routes are all routes, in an order that stays. They are not to be changed.
func (t *Table) Routes() []*Route { return t.routes }

// RoutesTo are those that lead to a service, in the same order.
func (t *Table) RoutesTo(service string) []*Route { return t.leads[service] }

// index makes the lists once: who asks for them by service or tenant would else go over
// all routes for each service, and over all tenants for each route.
func (t *Table) index() {
	for _, routes := range t.hosts {
		t.routes = append(t.routes, routes...)
	}
	slices.SortFunc(t.routes, func(a, b *Route) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Prefix, b.Prefix)) })
	t.leads = make(map[string][]*Route, len(t.Services))
	for _, r := range t.routes {
		for i, w := range r.Backends {
			if w.Share > 0 && !slices.ContainsFunc(r.Backends[:i], func(o Weighted) bool { return o.Service == w.Service && o.Share > 0 }) {
				t.leads[w.Service] = append(t.leads[w.Service], r)
			}
		}
	}
	seen := make(map[*Tenant]bool, len(t.tenants))
	for _, tenant := range t.tenants {
		if seen[tenant] {
			continue
		}
		seen[tenant] = true
		t.named = append(t.named, tenant)
		if tenant.Rank != nil && !slices.Contains(t.ranks, *tenant.Rank) {
			t.ranks = append(t.ranks, *tenant.Rank)
		}
	}
	slices.SortFunc(t.named, func(a, b *Tenant) int { return cmp.Compare(a.Name, b.Name) })
}

// HasRoute tells whether a route has this name.
func (t *Table) HasRoute(name string) bool {
	return slices.ContainsFunc(t.Routes(), func(r *Route) bool { return r.Name == name })
}

// Tenants are all tenants by name. They are not to be changed.
func (t *Table) Tenants() []*Tenant { return t.named }

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
	for _, rank := range t.ranks {
		if rank != r.Rank {
			ranks = append(ranks, rank)
		}
	}
	slices.Sort(ranks)
	return ranks
}
