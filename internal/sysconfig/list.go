package sysconfig

import (
	"cmp"
	"slices"
)

// Routes returns all routes in a stable order. Callers must not modify them.
func (t *Table) Routes() []*Route { return t.routes }

// RoutesTo returns the routes that send requests to a service, in the order of Routes.
func (t *Table) RoutesTo(service string) []*Route { return t.routesByService[service] }

// buildIndexes computes the lists of routes, tenants and ranks once. Otherwise callers would
// scan all routes for each service, and all tenants for each route.
func (t *Table) buildIndexes() {
	for _, routes := range t.hosts {
		t.routes = append(t.routes, routes...)
	}
	slices.SortFunc(t.routes, func(a, b *Route) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Host, b.Host), cmp.Compare(a.Prefix, b.Prefix))
	})
	t.routesByService = make(map[string][]*Route, len(t.Services))
	for _, r := range t.routes {
		for i, w := range r.Backends {
			if w.Share > 0 && !slices.ContainsFunc(r.Backends[:i], func(o Weighted) bool { return o.Service == w.Service && o.Share > 0 }) {
				t.routesByService[w.Service] = append(t.routesByService[w.Service], r)
			}
		}
	}
	seen := make(map[*Tenant]bool, len(t.tenants))
	for _, tenant := range t.tenants {
		if seen[tenant] {
			continue
		}
		seen[tenant] = true
		t.tenantsByName = append(t.tenantsByName, tenant)
		if tenant.Rank != nil && !slices.Contains(t.tenantRanks, *tenant.Rank) {
			t.tenantRanks = append(t.tenantRanks, *tenant.Rank)
		}
	}
	slices.SortFunc(t.tenantsByName, func(a, b *Tenant) int { return cmp.Compare(a.Name, b.Name) })
}

// HasRoute reports whether there is a route with this name.
func (t *Table) HasRoute(name string) bool {
	return slices.ContainsFunc(t.Routes(), func(r *Route) bool { return r.Name == name })
}

// Tenants returns all tenants sorted by name, those of the same name in any order. Callers must not modify them.
func (t *Table) Tenants() []*Tenant { return t.tenantsByName }

// TenantNamed returns the tenant with this name, or nil, by a scan of all tenants.
func (t *Table) TenantNamed(name string) *Tenant {
	for _, tenant := range t.tenants {
		if tenant.Name == name {
			return tenant
		}
	}
	return nil
}

// Ranks returns the ranks that requests of a route can have, in ascending order: the
// route's own and those of tenants.
func (t *Table) Ranks(r *Route) []int {
	ranks := []int{r.Rank}
	for _, rank := range t.tenantRanks {
		if rank != r.Rank {
			ranks = append(ranks, rank)
		}
	}
	slices.Sort(ranks)
	return ranks
}
