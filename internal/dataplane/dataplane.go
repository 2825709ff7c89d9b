// Package dataplane is the system's data plane: it serves clients' requests by the configuration in force,
// with the same routing core, balancing module and connections as the gateway in service. Each service has
// a lane of its own, so that an overloaded service takes no capacity from the others.
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

// Server is a server that requests can be sent to.
type Server struct {
	ID, Addr, Service, Zone string
	State                   choice.State
	Capacity                int
	WarmUntil               time.Duration // on the clock of Options.Now; until then the server is warming up
}

// Options are the dependencies and settings of a Plane.
type Options struct {
	Env            hostenv.Host
	Zone           string
	Now            func() time.Duration // monotonic clock, always above 0
	MaxServerConns int                  // limit for all servers together; 0: none
	Seed           uint64
	// TakeQuota takes units of a tenant's quota, or returns when some will be available.
	TakeQuota func(tenant string, units float64) (ok bool, after time.Duration)
	// Leaving reports whether clients should send their next requests to another gateway.
	Leaving        func() bool
	Closing        func() bool // the process is about to end, and may not be able to finish new requests; nil: never
	RetryRatio     float64     // part of the requests that may be retries, over all gateways
	RetryAllowance float64     // retries allowed in addition
	WarmupTime     time.Duration
	FaultInjector  FaultInjector // nil: none
	Bug            transport.Bug
	OnRequestTimes func(id string, t *protocol.StageTimes) // called with the stages of each request; nil: they aren't measured
}

// Plane routes clients' requests to servers.
type Plane struct {
	options        Options
	peerOptions    transport.PeerOptions
	requestIDs     *protocol.OpenIDs
	table          atomic.Pointer[sysconfig.Table]
	gate           atomic.Pointer[gate] // nil: none
	lanes          atomic.Pointer[map[string]*lane]
	mu             sync.Mutex          // guards the fields below; one change at a time
	servers        map[string][]Server // by service, ordered by ID
	serviceOf      map[string]string   // by server ID
	gatewayCount   int
	gatewayIndex   int
	quotaRefusals  atomic.Int64
	ownStatuses    ownStatuses
	falseSuccesses atomic.Int64
	struckRequests atomic.Int64 // requests in progress that a fault rule applies to
	copiedBytes    atomic.Int64 // bytes held to repeat requests
	gateCounters   gateCounters
}

// New returns a plane without a configuration: it refuses all requests.
func New(o Options) *Plane {
	o.Env = hostenv.OrReal(o.Env)
	p := &Plane{options: o, requestIDs: protocol.NewOpenIDs(), servers: map[string][]Server{}, serviceOf: map[string]string{}, gatewayCount: 1}
	p.peerOptions = transport.PeerOptions{Host: o.Env, ConnectTimeout: connectTimeout, ConnLimit: transport.NewConnLimit(o.MaxServerConns),
		IdleTimeout: transport.NewIdleTimeout(idleConnTimeout), Strict: true, Bug: o.Bug}
	if o.OnRequestTimes != nil {
		p.peerOptions.OnSent = protocol.MarkWritten
	}
	p.lanes.Store(&map[string]*lane{})
	return p
}

const (
	connectTimeout  = 300 * time.Millisecond
	idleConnTimeout = 4 * time.Second
)

// Adopt puts a configuration in force. Open requests keep the rules they came by.
func (p *Plane) Adopt(t *sysconfig.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lanes := maps.Clone(*p.lanes.Load())
	for name := range t.Services {
		settings := p.laneSettings(t, name)
		if l := lanes[name]; l != nil {
			l.configure(int64(t.Version), settings)
		} else if len(settings.Classes) > 0 {
			l, err := newLane(p, name, settings)
			if err != nil {
				continue // no request can be routed to this service
			}
			lanes[name] = l
			l.setServers(p.servers[name])
		}
	}
	p.lanes.Store(&lanes)
	p.table.Store(t)
}

// Version returns the version of the configuration in force; 0: none.
func (p *Plane) Version() uint32 {
	if t := p.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Table returns the configuration in force; nil: none.
func (p *Plane) Table() *sysconfig.Table { return p.table.Load() }

// SetGateways sets the number of gateways that share the traffic, and the index of this one.
func (p *Plane) SetGateways(n, index int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n == p.gatewayCount && index == p.gatewayIndex {
		return
	}
	p.gatewayCount, p.gatewayIndex = max(n, 1), max(index, 0)
	if t := p.table.Load(); t != nil {
		for name, l := range *p.lanes.Load() {
			l.configure(int64(t.Version), p.laneSettings(t, name))
		}
	}
}

// SetServers replaces the list of servers.
func (p *Plane) SetServers(list []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var gone []string
	present := make(map[string]bool, len(list))
	for _, s := range list {
		present[s.ID] = true
	}
	for id := range p.serviceOf {
		if !present[id] {
			gone = append(gone, id)
		}
	}
	p.applyChange(list, gone)
}

// UpdateServers applies changed servers, and removes those in gone. The cost grows with the services
// affected, not with the number of all servers.
func (p *Plane) UpdateServers(list []Server, gone []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyChange(list, gone)
}

func (p *Plane) applyChange(list []Server, gone []string) {
	before := map[string][]Server{} // the servers before the change, by affected service
	copyService := func(service string) {
		if _, ok := before[service]; !ok {
			before[service] = p.servers[service]
			p.servers[service] = slices.Clone(p.servers[service])
		}
	}
	search := func(service, id string) (int, bool) {
		return slices.BinarySearchFunc(p.servers[service], id, func(s Server, id string) int { return strings.Compare(s.ID, id) })
	}
	remove := func(id string) {
		service, ok := p.serviceOf[id]
		if !ok {
			return
		}
		copyService(service)
		if i, ok := search(service, id); ok {
			p.servers[service] = slices.Delete(p.servers[service], i, i+1)
		}
		delete(p.serviceOf, id)
	}
	for _, id := range gone {
		remove(id)
	}
	for _, s := range list {
		if service, ok := p.serviceOf[s.ID]; ok && service != s.Service {
			remove(s.ID)
		}
		copyService(s.Service)
		i, ok := search(s.Service, s.ID)
		if ok {
			p.servers[s.Service][i] = s
		} else {
			p.servers[s.Service] = slices.Insert(p.servers[s.Service], i, s)
		}
		p.serviceOf[s.ID] = s.Service
	}
	t, lanes := p.table.Load(), *p.lanes.Load()
	for service, before := range before {
		current := p.servers[service]
		if len(current) == 0 {
			delete(p.servers, service)
		}
		if l := lanes[service]; l != nil && !slices.Equal(current, before) {
			l.configure(int64(t.Version), p.laneSettings(t, service)) // the settings depend on the servers' capacity
			l.setServers(current)
		}
	}
}

// Close answers all open requests, since the process is about to end.
func (p *Plane) Close() {
	for _, l := range *p.lanes.Load() {
		l.core.AnswerOpen()
	}
}

// Stop stops all lanes.
func (p *Plane) Stop() {
	for _, l := range *p.lanes.Load() {
		l.core.Stop()
	}
}

// OpenRequests returns the number of requests in progress.
func (p *Plane) OpenRequests() (open int) {
	for _, l := range *p.lanes.Load() {
		open += l.core.Stats().Open
	}
	return open
}

// ServiceStats returns the counters of each service's lane.
func (p *Plane) ServiceStats() map[string]routing.Stats {
	all := map[string]routing.Stats{}
	for name, l := range *p.lanes.Load() {
		all[name] = l.core.Stats()
	}
	return all
}

// QuotaRefusals returns how many requests were refused by their tenant's quota.
func (p *Plane) QuotaRefusals() int64 { return p.quotaRefusals.Load() }
