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

// lane serves the requests to one service: a routing core with the balancing module, and the service's
// servers.
type lane struct {
	core          *routing.Core
	fleet         *protocol.Fleet
	now           func() time.Duration
	warmupTime    time.Duration
	serverNumbers map[string]uint32 // numbers in the core, by server ID
	hasServers    atomic.Bool
	settings      choice.Settings
}

// serverDialect names the headers that the system's servers use.
var serverDialect = &protocol.Dialect{DeadlineHeader: "X-Deadline-Ms", DeadlineInMillis: true, NotExecutedHeader: "X-Not-Executed",
	NotExecutedAnyStatus: true, CorrelationHeader: headerID,
	TargetHeader: "X-Target-Instance", DropHeaders: []string{"Authorization", headerTenant}}

const (
	headerID     = "X-Attempt-Id"
	headerTenant = "X-Tenant-Name"
	quotaPlan    = "tenant" // quotas are taken before a request comes to its lane
)

func newLane(p *Plane, name string, settings choice.Settings) (*lane, error) {
	l := &lane{now: p.options.Now, warmupTime: p.options.WarmupTime, serverNumbers: map[string]uint32{}, settings: settings}
	l.fleet = protocol.NewFleet(p.peerOptions, false)
	l.fleet.Dialect = serverDialect
	var err error
	l.core, err = routing.New(settings, p.options.Seed^xxhash.Sum64String(name), p.options.Now,
		routing.Dependencies{Env: p.options.Env, Fleet: l.fleet, Watcher: noWatcher{}, DiscardAnswer: protocol.Discard})
	if err != nil {
		return nil, err
	}
	l.fleet.Results = l.core
	p.options.Env.Go(l.core.Run)
	return l, nil
}

// noWatcher ignores requests to watch the servers: their changes are pushed.
type noWatcher struct{}

func (noWatcher) Watch(bool) {}

// configure applies settings if they have changed.
func (l *lane) configure(version int64, settings choice.Settings) {
	if len(settings.Classes) == 0 || sameSettings(l.settings, settings) {
		return
	}
	l.settings = settings
	l.core.ApplyPolicy(version, settings)
}

func sameSettings(a, b choice.Settings) bool {
	return a.Gateways == b.Gateways && a.Index == b.Index && a.RetryBudget == b.RetryBudget && a.ServerConcurrency == b.ServerConcurrency && slices.Equal(a.Classes, b.Classes)
}

// setServers replaces the service's servers. One that hasn't been heard of for a while is used only if
// there is no other.
func (l *lane) setServers(list []Server) {
	anyUp := lo.SomeBy(list, func(s Server) bool { return s.State == choice.Up })
	update := routing.DiscoveryUpdate{Whole: true}
	for _, s := range list {
		if s.State == choice.Down && anyUp {
			continue
		}
		id := l.serverNumbers[s.ID]
		if id == 0 {
			id = uint32(len(l.serverNumbers) + 1)
			l.serverNumbers[s.ID] = id
		}
		member := choice.Member{ID: id, Key: xxhash.Sum64String(s.ID), Zone: s.Zone, State: s.State, Weight: 1}
		if member.State == choice.Down {
			member.State = choice.Up
		}
		if remaining := s.WarmUntil - l.now(); remaining > 0 {
			member.Started = l.now() - max(0, l.warmupTime-remaining)
		}
		update.Members = append(update.Members, routing.Member{Member: member, Addr: s.Addr, Name: s.ID})
	}
	l.hasServers.Store(len(update.Members) > 0)
	l.core.HandleDiscovery(update)
}

// empty reports whether there is no server, or no lane.
func (l *lane) empty() bool { return l == nil || !l.hasServers.Load() }

// laneSettings returns the settings of a service's lane: a class for each route to the service and each
// rank that its requests may have.
func (p *Plane) laneSettings(t *sysconfig.Table, service string) choice.Settings {
	settings := choice.Settings{Gateways: p.gatewayCount, Index: p.gatewayIndex, Zone: p.options.Zone, MaxAttempts: 1, RefusesWhenBusy: true, HeadroomSigmas: spareDeviations, Hedging: true, Cancels: true,
		RetryAfter: true, ConnectTimeout: connectTimeout, Weighted: true, TurnWeight: roundRobinWeight, ColdCapacity: 0.5, WarmupTime: p.options.WarmupTime,
		CrossZone: crossZoneGain, RetryRatio: p.options.RetryRatio * retryBudgetShare, RetryBudget: max(1, p.options.RetryAllowance*retryBudgetShare/float64(p.gatewayCount)),
		Plans: []choice.Plan{{Name: quotaPlan, ValueFactor: 1, OverrunCost: 1}}}
	if list := p.servers[service]; len(list) > 0 {
		settings.ServerConcurrency = lo.SumBy(list, func(s Server) float64 { return float64(s.Capacity) }) / float64(len(list))
	}
	for _, r := range t.RoutesTo(service) {
		c := choice.Class{Target: cmp.Or(r.Target, r.Deadline), Deadline: r.Deadline, LateValue: 0.3, MaxAttempts: max(r.Tries, 1)}
		if c.Effect = choice.Retryable; r.Class == sysconfig.Effectful {
			c.Effect = choice.NonRetryable
		}
		for _, rank := range t.Ranks(r) {
			c.Name, c.Value = className(r, rank), float64(max(1, 4-rank))
			settings.Classes = append(settings.Classes, c)
		}
	}
	slices.SortFunc(settings.Classes, func(a, b choice.Class) int { return cmp.Compare(a.Name, b.Name) })
	return settings
}

const (
	roundRobinWeight = 0.03 // low, since servers differ in speed by more than taking turns evens out
	spareDeviations  = 2    // in standard deviations
	retryBudgetShare = 0.6  // part of the retry budget that is used, since gateways that come and go share it
	crossZoneGain    = 0.1  // a server in another zone must be quicker by this part of the target latency
)

// className names the class of a route's requests of one rank. It contains whether they may be repeated: an open request
// of an earlier configuration never gets a class by which it could run twice.
func className(r *sysconfig.Route, rank int) string {
	effect := "effectful "
	if r.Class == sysconfig.Pure {
		effect = "pure "
	}
	return effect + strconv.Itoa(rank) + " " + r.Key()
}
