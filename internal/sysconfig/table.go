package sysconfig

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Table is a configuration indexed for lookups by the data plane. It is immutable, so any
// number of goroutines can share it.
type Table struct {
	Version  uint32
	Bounds   Caps
	Services map[string]Service

	hosts      map[string][]*Route // by lower-case host, longest prefix first
	tenants    map[string]*Tenant  // by key
	hasTenants bool

	routes          []*Route // sorted by name, host and prefix
	routesByService map[string][]*Route
	tenantsByName   []*Tenant // each tenant once
	tenantRanks     []int     // the distinct ranks of tenants
}

// Caps are the request size limits and timeouts for clients. 0 means no limit.
type Caps struct {
	HeaderBytes, BodyBytes int64
	HeaderRead, Keepalive  time.Duration
}

// Service is a backend service, which any number of servers provide.
type Service struct {
	Name, ProbePath string
	MaxConns        int
}

// Class tells whether the requests of a route may be repeated. An unknown class counts as
// Effectful, the safe choice.
type Class uint8

const (
	Effectful Class = iota
	Pure
)

// Route holds the handling and the destinations of requests that match its prefix. Its host and prefix tell it from
// other routes; any number of routes may have the same name, or none.
type Route struct {
	Name             string
	Host, Prefix     string // the host in lower case and without a port
	Class            Class
	Target, Deadline time.Duration
	Tries, Rank      int
	Anonymous        bool
	Backends         []Weighted // none with a share of 0
	totalShare       uint64
	key              string
}

// Key identifies the route in its configuration, and the same route in other versions of it.
func (r *Route) Key() string { return r.key }

// Weighted is a service and its weight among the destinations of a route.
type Weighted struct {
	Service string
	Share   int
}

// Tenant is the owner of one or more API keys. A Rate or Burst of 0 means no limit. If several principals have one name,
// each has a Tenant with its own rank, and they share the strictest limits: a quota is counted by the tenant's name.
type Tenant struct {
	Name        string
	Rank        *int // overrides the route's rank unless nil
	Rate, Burst float64
}

// Table builds the lookup table of the configuration.
func (c *Configuration) Table() *Table {
	t := &Table{
		Version: c.version,
		Bounds: Caps{
			HeaderBytes: int64(clampInt(c.BoundsReq.MaxHeaderBytes)), HeaderRead: clampMillis(c.BoundsReq.HeaderReadMs),
			BodyBytes: int64(clampInt(c.BoundsReq.MaxBodyBytes)), Keepalive: clampMillis(c.BoundsReq.KeepaliveMs),
		},
		Services:   make(map[string]Service, len(c.Pools)),
		hosts:      make(map[string][]*Route, len(c.Sockets)),
		tenants:    make(map[string]*Tenant),
		hasTenants: len(c.Principals) > 0,
	}
	for _, p := range c.Pools {
		t.Services[p.Name] = Service{Name: p.Name, ProbePath: p.ProbePath, MaxConns: clampInt(p.MaxConns)}
	}
	for _, s := range c.Sockets {
		host := Host(s.Authority)
		for i := range s.Policy {
			t.hosts[host] = append(t.hosts[host], s.Policy[i].route(host))
		}
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, p := range c.Principals {
		tenant := &Tenant{Name: p.Name, Rate: max(p.RatePerS, 0), Burst: max(p.BurstSize, 0)}
		if p.Rank != nil {
			rank := clampInt(*p.Rank)
			tenant.Rank = &rank
		}
		for _, key := range p.Credentials {
			if key != "" {
				t.tenants[key] = tenant
			}
		}
	}
	t.shareLimits()
	t.buildIndexes()
	return t
}

// shareLimits gives tenants of one name the same limits, the strictest of each.
func (t *Table) shareLimits() {
	strictest := map[string]Tenant{}
	for _, tenant := range t.tenants {
		limits, ok := strictest[tenant.Name]
		if !ok {
			limits = *tenant
		}
		limits.Rate, limits.Burst = stricter(limits.Rate, tenant.Rate), stricter(limits.Burst, tenant.Burst)
		strictest[tenant.Name] = limits
	}
	for _, tenant := range t.tenants {
		tenant.Rate, tenant.Burst = strictest[tenant.Name].Rate, strictest[tenant.Name].Burst
	}
}

// stricter returns the lower of two limits, of which 0 means none.
func stricter(a, b float64) float64 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// route converts a configured rule of a host to the form used for lookups.
func (r *Rule) route(host string) *Route {
	out := &Route{
		Name: r.Name, Host: host, Prefix: r.Predicate.PathPrefix,
		key:    strconv.Quote(host) + r.Predicate.PathPrefix, // quoted, since a host may hold any character
		Target: clampMillis(r.TargetMs), Deadline: max(clampMillis(r.Effect.DeadlineMs), 1),
		Tries: max(clampInt(r.Effect.Tries), 1), Rank: clampInt(r.Rank), Anonymous: r.Anonymous,
	}
	if r.RouteClass == "pure" {
		out.Class = Pure
	}
	if len(r.Effect.Partition) == 0 {
		out.Backends = []Weighted{{r.Effect.Backend, 1}}
	}
	scale := shareScale(r.Effect.Partition)
	for _, p := range r.Effect.Partition {
		if share := int(math.Round(p.Share * scale)); share > 0 {
			out.Backends = append(out.Backends, Weighted{p.Backend, share})
		}
	}
	for _, w := range out.Backends {
		out.totalShare += uint64(w.Share)
	}
	return out
}

// shareScale returns the factor that turns shares into integers: 1 if all are integers,
// otherwise one that makes the largest 1e6, so that 0.9 and 0.1 keep their ratio.
func shareScale(parts []Part) float64 {
	largest, integral := 0.0, true
	for _, p := range parts {
		largest = max(largest, p.Share)
		integral = integral && p.Share == math.Trunc(p.Share)
	}
	if integral && largest < 1<<31 {
		return 1
	}
	return 1e6 / largest
}

// Route returns the route with the longest prefix that matches a request, or nil. A port in
// the host and a query in the path are ignored. It doesn't allocate.
func (t *Table) Route(host, path string) *Route {
	var lowered [256]byte
	host = stripPort(host)
	routes, ok := t.hosts[host]
	if !ok && len(host) <= len(lowered) {
		for i := range len(host) {
			lowered[i] = lowerASCII(host[i])
		}
		routes = t.hosts[string(lowered[:len(host)])]
	}
	if q := strings.IndexByte(path, '?'); q >= 0 {
		path = path[:q]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Tenant returns the owner of an API key, or nil.
func (t *Table) Tenant(key string) *Tenant { return t.tenants[key] }

// Keyed reports whether requests on routes that aren't anonymous need an API key.
func (t *Table) Keyed() bool { return t.hasTenants }

// Pick chooses a service with a probability proportional to its share. The same u always
// gives the same service; u need not be evenly distributed.
func (r *Route) Pick(u uint64) string {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	n, _ := bits.Mul64(mixBits(u), r.totalShare)
	for _, w := range r.Backends {
		if n < uint64(w.Share) {
			return w.Service
		}
		n -= uint64(w.Share)
	}
	return ""
}

// mixBits is the finalizer of splitmix64, which spreads u over all bits.
func mixBits(u uint64) uint64 {
	u = (u ^ u>>30) * 0xbf58476d1ce4e5b9
	u = (u ^ u>>27) * 0x94d049bb133111eb
	return u ^ u>>31
}

// Host returns the form in which hosts are compared: lower case and without a port.
func Host(authority string) string {
	b := []byte(stripPort(authority))
	for i := range b {
		b[i] = lowerASCII(b[i])
	}
	return string(b)
}

// stripPort removes the port; the colons of an IPv6 address in brackets stay.
func stripPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && strings.IndexByte(host[i:], ']') < 0 {
		return host[:i]
	}
	return host
}

func lowerASCII(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// clampMillis and clampInt convert a number of any size to one that the type can hold.
func clampMillis(v float64) time.Duration {
	return time.Duration(min(max(v, 0), 1e12) * float64(time.Millisecond))
}

func clampInt(v float64) int { return int(min(max(v, 0), 1<<53)) }
