package sysconfig

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"strings"
	"time"
)

// Table is a configuration as the data plane looks it up. It never changes, so any
// number of readers share one.
type Table struct {
	Version  uint32
	Bounds   Caps
	Services map[string]Service

	hosts   map[string][]*Route // by lower-case host, longest prefix first
	tenants map[string]*Tenant  // by key
	keyed   bool

	routes []*Route // all, by name
	leads  map[string][]*Route
	named  []*Tenant // all, by name
	ranks  []int     // that tenants have
}

// Caps bound what a client may send. What is 0 has no bound.
type Caps struct {
	HeaderBytes, BodyBytes int64
	HeaderRead, Keepalive  time.Duration
}

// Service is a kind of server.
type Service struct {
	Name, ProbePath string
	MaxConns        int
}

// Class tells what may be repeated. A class that isn't known counts as effectful,
// which is the one that does no harm.
type Class uint8

const (
	Effectful Class = iota
	Pure
)

// Route is where requests go that it fits.
type Route struct {
	Name, Prefix     string
	Class            Class
	Target, Deadline time.Duration
	Tries, Rank      int
	Anonymous        bool
	Backends         []Weighted // none with a share of 0
	total            uint64
}

// Weighted is a service's share of a route.
type Weighted struct {
	Service string
	Share   int
}

// Tenant is whom a key belongs to. Rate and Burst of 0 are no limit.
type Tenant struct {
	Name        string
	Rank        *int // stands in for the route's, if there is one
	Rate, Burst float64
}

// Table makes the form that requests are looked up in.
func (c *Configuration) Table() *Table {
	t := &Table{
		Version: c.version,
		Bounds: Caps{
			HeaderBytes: int64(whole(c.BoundsReq.MaxHeaderBytes)), HeaderRead: ms(c.BoundsReq.HeaderReadMs),
			BodyBytes: int64(whole(c.BoundsReq.MaxBodyBytes)), Keepalive: ms(c.BoundsReq.KeepaliveMs),
		},
		Services: make(map[string]Service, len(c.Pools)),
		hosts:    make(map[string][]*Route, len(c.Sockets)),
		tenants:  make(map[string]*Tenant),
		keyed:    len(c.Principals) > 0,
	}
	for _, p := range c.Pools {
		t.Services[p.Name] = Service{Name: p.Name, ProbePath: p.ProbePath, MaxConns: whole(p.MaxConns)}
	}
	for _, s := range c.Sockets {
		host := Host(s.Authority)
		for i := range s.Policy {
			t.hosts[host] = append(t.hosts[host], s.Policy[i].route())
		}
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, p := range c.Principals {
		tenant := &Tenant{Name: p.Name, Rate: max(p.RatePerS, 0), Burst: max(p.BurstSize, 0)}
		if p.Rank != nil {
			rank := whole(*p.Rank)
			tenant.Rank = &rank
		}
		for _, key := range p.Credentials {
			if key != "" {
				t.tenants[key] = tenant
			}
		}
	}
	t.index()
	return t
}

func (r *Rule) route() *Route {
	out := &Route{
		Name: r.Name, Prefix: r.Predicate.PathPrefix,
		Target: ms(r.TargetMs), Deadline: max(ms(r.Effect.DeadlineMs), 1),
		Tries: max(whole(r.Effect.Tries), 1), Rank: whole(r.Rank), Anonymous: r.Anonymous,
	}
	if r.RouteClass == "pure" {
		out.Class = Pure
	}
	if len(r.Effect.Partition) == 0 {
		out.Backends = []Weighted{{r.Effect.Backend, 1}}
	}
	scale := scaleOf(r.Effect.Partition)
	for _, p := range r.Effect.Partition {
		if share := int(math.Round(p.Share * scale)); share > 0 {
			out.Backends = append(out.Backends, Weighted{p.Backend, share})
		}
	}
	for _, w := range out.Backends {
		out.total += uint64(w.Share)
	}
	return out
}

// scaleOf leaves whole shares as they are; others are brought to a millionth of the
// largest, so that 0.9 and 0.1 keep their relation.
func scaleOf(parts []Part) float64 {
	top, exact := 0.0, true
	for _, p := range parts {
		top = max(top, p.Share)
		exact = exact && p.Share == math.Trunc(p.Share)
	}
	if exact && top < 1<<31 {
		return 1
	}
	return 1e6 / top
}

// Route finds the route of a request, or nil. The host may carry a port and the path
// a query; neither counts. It allocates nothing.
func (t *Table) Route(host, path string) *Route {
	var low [256]byte
	host = bare(host)
	routes, ok := t.hosts[host]
	if !ok && len(host) <= len(low) {
		for i := range len(host) {
			low[i] = lower(host[i])
		}
		routes = t.hosts[string(low[:len(host)])]
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

// Tenant finds whom a key belongs to, or nil.
func (t *Table) Tenant(key string) *Tenant { return t.tenants[key] }

// Keyed tells whether requests on routes that aren't anonymous carry a key.
func (t *Table) Keyed() bool { return t.keyed }

// Pick chooses a service by its share. The same u always gives the same service;
// u need not be spread well.
func (r *Route) Pick(u uint64) string {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	n, _ := bits.Mul64(stir(u), r.total)
	for _, w := range r.Backends {
		if n < uint64(w.Share) {
			return w.Service
		}
		n -= uint64(w.Share)
	}
	return ""
}

// stir spreads u over all bits (the last step of splitmix64).
func stir(u uint64) uint64 {
	u = (u ^ u>>30) * 0xbf58476d1ce4e5b9
	u = (u ^ u>>27) * 0x94d049bb133111eb
	return u ^ u>>31
}

// Host is the form under which hosts are compared: no port, lower case.
func Host(authority string) string {
	b := []byte(bare(authority))
	for i := range b {
		b[i] = lower(b[i])
	}
	return string(b)
}

func bare(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && strings.IndexByte(host[i:], ']') < 0 {
		return host[:i]
	}
	return host
}

func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// ms and whole keep figures of any size within what the types hold.
func ms(v float64) time.Duration {
	return time.Duration(min(max(v, 0), 1e12) * float64(time.Millisecond))
}

func whole(v float64) int { return int(min(max(v, 0), 1<<53)) }
