// Package shuttle is the system's data plane: it takes clients' requests by the
// configuration in force, and carries them with the same core, module and
// connections as the gateway in service. Each service has a lane of its own, so
// that one that is overloaded takes nothing from the others.
package shuttle

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"asterwell/choice"
	"asterwell/internal/creed"
	"asterwell/internal/protocol"
	"asterwell/internal/routing"
	"asterwell/internal/seam"
	"asterwell/internal/transport"
)

// Server is one that the list names.
type Server struct {
	ID, Addr, Service, Zone string
	State                   choice.State
	Capacity                int
	Warm                    time.Duration // of the plane's clock: slow until then
}

// Options are what a plane is told.
type Options struct {
	World   seam.Seam
	Zone    string
	Now     func() time.Duration // the plane's clock, above 0
	Sockets int                  // connections to servers
	Seed    uint64
	// Pass takes units of a tenant's quota, or says when there will be some.
	Pass       func(tenant string, units float64) (ok bool, after time.Duration)
	Leaving    func() bool
	Closing    func() bool // it has left for long: what comes now may not be finished in time; nil: never
	RetryRatio float64     // of requests may be repeats, over all gateways
	RetrySlack float64     // and so many besides
	ColdFor    time.Duration
	Faults     Faults // nil: none
}

// Plane carries traffic.
type Plane struct {
	opt     Options
	peers   transport.PeerOptions
	ids     *protocol.IDs
	table   atomic.Pointer[creed.Table]
	gate    atomic.Pointer[gate] // nil: none
	lanes   atomic.Pointer[map[string]*lane]
	mu      sync.Mutex // of what follows: one change at a time
	servers map[string][]Server
	gates   int
	index   int
	refused atomic.Int64 // by quota
	held    atomic.Int64 // struck requests
	copies  atomic.Int64 // bytes of those to be sent again
	turns   tally
}

// New returns a plane without a configuration: it refuses everything.
func New(o Options) *Plane {
	o.World = seam.Or(o.World)
	p := &Plane{opt: o, ids: protocol.NewIDs(), servers: map[string][]Server{}, gates: 1}
	p.peers = transport.PeerOptions{World: o.World, Connect: connectWithin, Sockets: transport.NewSockets(o.Sockets),
		Keep: transport.NewKeep(keepIdle)}
	p.lanes.Store(&map[string]*lane{})
	return p
}

const (
	connectWithin = 300 * time.Millisecond
	keepIdle      = 4 * time.Second
)

// Adopt puts a configuration in force. What is open keeps its rules.
func (p *Plane) Adopt(t *creed.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lanes := maps.Clone(*p.lanes.Load())
	for name := range t.Services {
		set := p.settings(t, name)
		if l := lanes[name]; l != nil {
			l.adopt(int64(t.Version), set)
		} else if len(set.Classes) > 0 {
			l, err := newLane(p, name, set)
			if err != nil {
				continue // a service that no request can go to
			}
			lanes[name] = l
			l.update(p.servers[name])
		}
	}
	p.lanes.Store(&lanes)
	p.table.Store(t)
}

// Version is that of the configuration in force; 0: none.
func (p *Plane) Version() uint32 {
	if t := p.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Table is the configuration in force; nil: none.
func (p *Plane) Table() *creed.Table { return p.table.Load() }

// Gateways tells how many share the traffic, and which of them this one is.
func (p *Plane) Gateways(n, index int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n == p.gates && index == p.index {
		return
	}
	p.gates, p.index = max(n, 1), max(index, 0)
	if t := p.table.Load(); t != nil {
		for name, l := range *p.lanes.Load() {
			l.adopt(int64(t.Version), p.settings(t, name))
		}
	}
}

// Serve takes the whole list of servers.
func (p *Plane) Serve(list []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := map[string][]Server{}
	for _, s := range list {
		now[s.Service] = append(now[s.Service], s)
	}
	was, t := p.servers, p.table.Load()
	p.servers = now
	for name, l := range *p.lanes.Load() {
		if !slices.Equal(now[name], was[name]) {
			l.adopt(int64(t.Version), p.settings(t, name)) // their capacity is in it
			l.update(now[name])
		}
	}
}

// Close answers all that is open: the process ends in a moment.
func (p *Plane) Close() {
	for _, l := range *p.lanes.Load() {
		l.core.Close()
	}
}

// Stop ends all lanes.
func (p *Plane) Stop() {
	for _, l := range *p.lanes.Load() {
		l.core.Stop()
	}
}

// Open is the number of requests under way.
func (p *Plane) Open() (open int) {
	for _, l := range *p.lanes.Load() {
		open += l.core.Stats().Open
	}
	return open
}

// Totals are a lane's, for the log.
func (p *Plane) Totals() map[string]routing.Stats {
	all := map[string]routing.Stats{}
	for name, l := range *p.lanes.Load() {
		all[name] = l.core.Stats()
	}
	return all
}

// Limited is how many requests were beyond their tenant's quota.
func (p *Plane) Limited() int64 { return p.refused.Load() }
