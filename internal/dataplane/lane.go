package dataplane

import (
	"cmp"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"asterwell/choice"
	"asterwell/internal/protocol"
	"asterwell/internal/routing"
	"asterwell/internal/sysconfig"
)

// lane is one service: a core with the module, and its servers.
type lane struct {
	core  *routing.Core
	fleet *protocol.Fleet
	now   func() time.Duration
	cold  time.Duration
	known map[string]uint32 // servers' numbers here
	some  atomic.Bool       // there is a server
	set   choice.Settings
}

// The headers of the system's servers.
var speech = &protocol.Dialect{DeadlineHeader: "X-Deadline-Ms", DeadlineInMillis: true, NotExecutedHeader: "X-Not-Executed",
	NotExecutedAnyStatus: true, CorrelationHeader: headerID,
	TargetHeader: "X-Target-Instance", DropHeaders: []string{"Authorization", headerTenant}}

const (
	headerID     = "X-Attempt-Id"
	headerTenant = "X-Tenant-Name"
	plan         = "tenant" // quotas are taken before a request comes to its lane
)

func newLane(p *Plane, name string, set choice.Settings) (*lane, error) {
	l := &lane{now: p.opt.Now, cold: p.opt.WarmupTime, known: map[string]uint32{}, set: set}
	l.fleet = protocol.NewFleet(p.peers, false)
	l.fleet.Dialect = speech
	var err error
	l.core, err = routing.New(set, p.opt.Seed^xxhash.Sum64String(name), p.opt.Now,
		routing.Dependencies{Env: p.opt.Host, Fleet: l.fleet, Watcher: silent{}, DiscardAnswer: protocol.Discard})
	if err != nil {
		return nil, err
	}
	l.fleet.Results = l.core
	p.opt.Host.Go(l.core.Run)
	return l, nil
}

// silent: news comes without being asked for.
type silent struct{}

func (silent) Watch(bool) {}

// adopt goes over to other settings, if they are.
func (l *lane) adopt(version int64, set choice.Settings) {
	if len(set.Classes) == 0 || equal(l.set, set) {
		return
	}
	l.set = set
	l.core.ApplyPolicy(version, set)
}

func equal(a, b choice.Settings) bool {
	return a.Gateways == b.Gateways && a.Index == b.Index && a.RetryBudget == b.RetryBudget && a.ServerConcurrency == b.ServerConcurrency && slices.Equal(a.Classes, b.Classes)
}

// update takes the service's servers. One that nobody has heard of for a while is
// used only where there is no other.
func (l *lane) update(list []Server) {
	live := lo.SomeBy(list, func(s Server) bool { return s.State == choice.Up })
	news := routing.DiscoveryUpdate{Whole: true}
	for _, s := range list {
		if s.State == choice.Down && live {
			continue
		}
		id := l.known[s.ID]
		if id == 0 {
			id = uint32(len(l.known) + 1)
			l.known[s.ID] = id
		}
		m := choice.Member{ID: id, Key: xxhash.Sum64String(s.ID), Zone: s.Zone, State: s.State, Weight: 1}
		if m.State == choice.Down {
			m.State = choice.Up
		}
		if left := s.WarmUntil - l.now(); left > 0 {
			m.Started = l.now() - max(0, l.cold-left)
		}
		news.Members = append(news.Members, routing.Member{Member: m, Addr: s.Addr, Name: s.ID})
	}
	l.some.Store(len(news.Members) > 0)
	l.core.HandleDiscovery(news)
}

// empty says that there is no server, or no lane.
func (l *lane) empty() bool { return l == nil || !l.some.Load() }

// settings are a service's by the configuration: a class for each route that leads
// to it and each rank that its requests may have.
func (p *Plane) settings(t *sysconfig.Table, service string) choice.Settings {
	set := choice.Settings{Gateways: p.gates, Index: p.index, Zone: p.opt.Zone, MaxAttempts: 1, RefusesWhenBusy: true, HeadroomSigmas: spare, Hedging: true, Cancels: true,
		RetryAfter: true, ConnectTimeout: connectWithin, Weighted: true, TurnWeight: turns, ColdCapacity: 0.5, WarmupTime: p.opt.WarmupTime,
		CrossZone: crossZone, RetryRatio: p.opt.RetryRatio * budgetUsed, RetryBudget: max(1, p.opt.RetryAllowance*budgetUsed/float64(p.gates)),
		Plans: []choice.Plan{{Name: plan, ValueFactor: 1, OverrunCost: 1}}}
	if list := p.servers[service]; len(list) > 0 {
		set.ServerConcurrency = lo.SumBy(list, func(s Server) float64 { return float64(s.Capacity) }) / float64(len(list))
	}
	for _, r := range t.RoutesTo(service) {
		c := choice.Class{Target: cmp.Or(r.Target, r.Deadline), Deadline: r.Deadline, LateValue: 0.3, MaxAttempts: max(r.Tries, 1)}
		if c.Effect = choice.Retryable; r.Class == sysconfig.Effectful {
			c.Effect = choice.NonRetryable
		}
		for _, rank := range t.Ranks(r) {
			c.Name, c.Value = class(r, rank), float64(max(1, 4-rank))
			set.Classes = append(set.Classes, c)
		}
	}
	slices.SortFunc(set.Classes, func(a, b choice.Class) int { return cmp.Compare(a.Name, b.Name) })
	return set
}

const (
	turns      = 0.03 // servers differ in speed by more than turns even out
	spare      = 2    // standard deviations
	budgetUsed = 0.6  // of the budget of repeats, which gateways that come and go share
	crossZone  = 0.1  // of the aim, that another zone's server should be quicker by
)

// class names a route's requests of one rank.
func class(r *sysconfig.Route, rank int) string { return r.Name + "#" + strconv.Itoa(rank) }
