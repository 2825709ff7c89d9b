// Package dataplane is the system's data plane: it takes clients' requests by the
// configuration in force, and carries them with the same core, module and
// connections as the gateway in service. Each service has a lane of its own, so
// that one that is overloaded takes nothing from the others.
package dataplane

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"asterwell/choice"
	"asterwell/internal/hostenv"
	"asterwell/internal/protocol"
	"asterwell/internal/routing"
	"asterwell/internal/sysconfig"
	"asterwell/internal/transport"
)

// Server is one that the list names.
type Server struct {
	ID, Addr, Service, Zone string
	State                   choice.State
	Capacity                int
	WarmUntil               time.Duration // of the plane's clock: slow until then
}

// Options are what a plane is told.
type Options struct {
	Host           hostenv.Host
	Zone           string
	Now            func() time.Duration // the plane's clock, above 0
	MaxServerConns int                  // connections to servers
	Seed           uint64
	// Pass takes units of a tenant's quota, or says when there will be some.
	TakeQuota      func(tenant string, units float64) (ok bool, after time.Duration)
	Leaving        func() bool
	Closing        func() bool // it has left for long: what comes now may not be finished in time; nil: never
	RetryRatio     float64     // of requests may be repeats, over all gateways
	RetryAllowance float64     // and so many besides
	WarmupTime     time.Duration
	FaultInjector  FaultInjector // nil: none
	Bug            transport.Bug
	OnRequestTimes func(id string, t *protocol.StageTimes) // takes when each request came to each stage; nil: nobody measures
}

// Plane carries traffic.
type Plane struct {
	opt     Options
	peers   transport.PeerOptions
	ids     *protocol.OpenIDs
	table   atomic.Pointer[sysconfig.Table]
	gate    atomic.Pointer[gate] // nil: none
	lanes   atomic.Pointer[map[string]*lane]
	mu      sync.Mutex          // of what follows: one change at a time
	servers map[string][]Server // by service, in the order of their IDs
	places  map[string]string   // the service of each
	gates   int
	index   int
	refused atomic.Int64 // by quota
	held    atomic.Int64 // struck requests
	copies  atomic.Int64 // bytes of those to be sent again
	turns   tally
}

// New returns a plane without a configuration: it refuses everything.
func New(o Options) *Plane {
	o.Host = hostenv.OrReal(o.Host)
	p := &Plane{opt: o, ids: protocol.NewOpenIDs(), servers: map[string][]Server{}, places: map[string]string{}, gates: 1}
	p.peers = transport.PeerOptions{Host: o.Host, ConnectTimeout: connectWithin, ConnLimit: transport.NewConnLimit(o.MaxServerConns),
		IdleTimeout: transport.NewIdleTimeout(keepIdle), Strict: true, Bug: o.Bug}
	if o.OnRequestTimes != nil {
		p.peers.OnSent = protocol.MarkWritten
	}
	p.lanes.Store(&map[string]*lane{})
	return p
}

const (
	connectWithin = 300 * time.Millisecond
	keepIdle      = 4 * time.Second
)

// Adopt puts a configuration in force. What is open keeps its rules.
func (p *Plane) Adopt(t *sysconfig.Table) {
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
func (p *Plane) Table() *sysconfig.Table { return p.table.Load() }

// Gateways tells how many share the traffic, and which of them this one is.
func (p *Plane) SetGateways(n, index int) {
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
func (p *Plane) SetServers(list []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var gone []string
	now := make(map[string]bool, len(list))
	for _, s := range list {
		now[s.ID] = true
	}
	for id := range p.places {
		if !now[id] {
			gone = append(gone, id)
		}
	}
	p.change(list, gone)
}

// Change takes those servers that are otherwise than before, and the IDs of those that have
// ended. The work grows with the services that are touched, not with all servers.
func (p *Plane) UpdateServers(list []Server, gone []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.change(list, gone)
}

func (p *Plane) change(list []Server, gone []string) {
	was := map[string][]Server{} // of the services that are touched
	touch := func(service string) {
		if _, ok := was[service]; !ok {
			was[service] = p.servers[service]
			p.servers[service] = slices.Clone(p.servers[service])
		}
	}
	find := func(service, id string) (int, bool) {
		return slices.BinarySearchFunc(p.servers[service], id, func(s Server, id string) int { return strings.Compare(s.ID, id) })
	}
	drop := func(id string) {
		service, ok := p.places[id]
		if !ok {
			return
		}
		touch(service)
		if i, ok := find(service, id); ok {
			p.servers[service] = slices.Delete(p.servers[service], i, i+1)
		}
		delete(p.places, id)
	}
	for _, id := range gone {
		drop(id)
	}
	for _, s := range list {
		if service, ok := p.places[s.ID]; ok && service != s.Service {
			drop(s.ID)
		}
		touch(s.Service)
		i, ok := find(s.Service, s.ID)
		if ok {
			p.servers[s.Service][i] = s
		} else {
			p.servers[s.Service] = slices.Insert(p.servers[s.Service], i, s)
		}
		p.places[s.ID] = s.Service
	}
	t, lanes := p.table.Load(), *p.lanes.Load()
	for service, before := range was {
		now := p.servers[service]
		if len(now) == 0 {
			delete(p.servers, service)
		}
		if l := lanes[service]; l != nil && !slices.Equal(now, before) {
			l.adopt(int64(t.Version), p.settings(t, service)) // their capacity is in it
			l.update(now)
		}
	}
}

// Close answers all that is open: the process ends in a moment.
func (p *Plane) Close() {
	for _, l := range *p.lanes.Load() {
		l.core.AnswerOpen()
	}
}

// Stop ends all lanes.
func (p *Plane) Stop() {
	for _, l := range *p.lanes.Load() {
		l.core.Stop()
	}
}

// Open is the number of requests under way.
func (p *Plane) OpenRequests() (open int) {
	for _, l := range *p.lanes.Load() {
		open += l.core.Stats().Open
	}
	return open
}

// Totals are a lane's, for the log.
func (p *Plane) ServiceStats() map[string]routing.Stats {
	all := map[string]routing.Stats{}
	for name, l := range *p.lanes.Load() {
		all[name] = l.core.Stats()
	}
	return all
}

// Limited is how many requests were beyond their tenant's quota.
func (p *Plane) QuotaRefusals() int64 { return p.refused.Load() }
