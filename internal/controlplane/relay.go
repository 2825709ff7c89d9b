package controlplane

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"asterwell/internal/drainpermit"
	"asterwell/internal/fsm"
	"asterwell/internal/memberlist"
	"asterwell/internal/quotas"
)

// Relay carries a meter's add to a counter's holder, or the answer back, through a process that can reach
// both during a partial partition. Without it a gateway that can't reach any holder would admit its even
// share in addition to what the others admit. A holder's requests for signs of life are relayed in the
// same way.
type Relay struct {
	From            string               `cbor:"1,keyasint"`
	To              string               `cbor:"2,keyasint"`
	RelayedBy       string               `cbor:"3,keyasint,omitempty"`
	Add             *quotas.Add          `cbor:"4,keyasint,omitempty"`
	Answer          *quotas.Answer       `cbor:"5,keyasint,omitempty"`
	LivenessRequest bool                 `cbor:"6,keyasint,omitempty"`
	Drain           *drainpermit.Message `cbor:"7,keyasint,omitempty"` // sent directly; the previous version ignores it
}

// detour is the state of the relayed path to one holder.
type detour struct {
	relay      string
	expires    fsm.Time // a direct answer ends it sooner
	lastSearch fsm.Time // time of the last search for a relay
	lastDirect fsm.Time // stamp of the newest add that was answered directly
}

// startSearch reports whether to search for a relay now, and records the search. Late answers, on a
// saturated link or from an overloaded holder, can't be told from missing ones, and each search costs four
// messages on the same links. So the interval grows with the number of gateways.
func (d *detour) startSearch(now fsm.Time, gateways int) bool {
	if d.lastSearch > 0 && now-d.lastSearch < max(minSearchGap, time.Duration(gateways)*searchGapPerGateway) {
		return false
	}
	d.lastSearch = now
	return true
}

// answeredDirectly ends the relayed path, since the holder's answer came directly.
func (d *detour) answeredDirectly(a quotas.Answer) {
	d.relay, d.expires = "", 0
	if stamp, ok := a.RequestTimestamp(); ok {
		d.lastDirect = max(d.lastDirect, stamp)
	}
}

// answeredVia uses the relay that an answer came through, unless that add or a later one was also answered
// directly: while a relay is used each add is sent both ways, so every relay would otherwise keep itself
// in use.
func (d *detour) answeredVia(now fsm.Time, by string, a quotas.Answer) {
	if stamp, ok := a.RequestTimestamp(); ok && stamp > d.lastDirect {
		d.relay, d.expires = by, now+detourLifetime
	}
}

const (
	detourLifetime      = 3 * time.Second
	relaysPerSearch     = 2          // asked at once
	maxAskedPerTick     = largeFleet // gateways asked through relays between two ticks
	minSearchGap        = 100 * time.Millisecond
	searchGapPerGateway = 2500 * time.Microsecond // per gateway: a holder gets at most 800 relayed messages a second from searches
)

// sendAdds sends the meter's adds, and relays those to silent holders. A holder counts an add once, even
// if it gets it twice. In a large fleet a search sends only the add's question: if the holder is
// overloaded no relay is faster, and hundreds of gateways would each send their full adds by two more
// paths. The next add uses the relay that was found.
func (m *Machine) sendAdds(now fsm.Time) {
	adds := m.meter.Tick(now)
	m.send(adds)
	for _, s := range adds {
		add, ok := s.Msg.(quotas.Add)
		if !ok || s.To == m.self {
			continue
		}
		d := m.detourTo(s.To)
		if d.expires > now {
			m.send([]fsm.Send{{To: d.relay, Msg: Relay{From: m.self, To: s.To, Add: &add}}})
		}
		// Search even while a relay is in use: that relay may be gone.
		if !m.stalled && m.meter.ReadOverdue(now, s.To) && d.startSearch(now, m.nodeCount) {
			if m.nodeCount > largeFleet {
				add = add.WithoutItems()
			}
			m.sendViaRelays(s.To, Relay{From: m.self, To: s.To, Add: &add})
		}
	}
}

// detourTo returns the state of the relayed path to a holder.
func (m *Machine) detourTo(holder string) *detour {
	d := m.detours[holder]
	if d == nil {
		d = &detour{}
		m.detours[holder] = d
	}
	return d
}

// sendLivenessRequests sends the counter's requests for signs of life, through relays too where the
// answers are missing. If many are missing in a large fleet, more likely this process or its links are
// slow. So only some are asked through relays, in turn, and none after this process was stalled: each late
// answer would otherwise cost two more messages, in growing numbers.
func (m *Machine) sendLivenessRequests(now fsm.Time, requests []fsm.Send) {
	m.send(requests)
	if m.stalled {
		return
	}
	silent := lo.Filter(requests, func(s fsm.Send, _ int) bool { return m.counter.ProbeOverdue(now, s.To) })
	if count := len(silent); count > maxAskedPerTick {
		start := m.nextAsked % count
		m.nextAsked += maxAskedPerTick
		silent = append(silent[start:], silent[:start]...)[:maxAskedPerTick]
	}
	for _, s := range silent {
		m.sendViaRelays(s.To, Relay{From: m.self, To: s.To, LivenessRequest: true})
	}
}

// sendViaRelays sends a message through a few relays.
func (m *Machine) sendViaRelays(to string, relay Relay) {
	for _, addr := range m.relays(to) {
		m.send([]fsm.Send{{To: addr, Msg: relay}})
	}
}

// relays returns a few processes, in turn, that may be able to reach the holder.
func (m *Machine) relays(holder string) (relays []string) {
	candidates := lo.FilterMap(m.members.UpNodes(), func(n memberlist.Node, _ int) (string, bool) {
		return n.Addr, n.Addr != m.self && n.Addr != holder
	})
	for range min(relaysPerSearch, len(candidates)) {
		m.nextRelay++
		relays = append(relays, candidates[m.nextRelay%len(candidates)])
	}
	return slices.Compact(relays)
}

// receiveRelay handles a relayed message, or passes it on to its destination.
func (m *Machine) receiveRelay(now fsm.Time, from string, relay Relay) {
	switch {
	case relay.To != m.self:
		if relay.RelayedBy == "" { // relay once only
			relay.RelayedBy = m.self
			m.send([]fsm.Send{{To: relay.To, Msg: relay}})
		}
	case relay.Drain != nil:
		m.drain.SetReady(m.servable(), m.leaving)
		m.applyDrain(m.drain.Receive(now, relay.From, *relay.Drain))
	case relay.Add != nil:
		for _, s := range m.counter.Receive(now, relay.From, *relay.Add) {
			if message, ok := s.Msg.(quotas.Answer); ok && s.To == relay.From {
				s = fsm.Send{To: relay.RelayedBy, Msg: Relay{From: m.self, To: relay.From, Answer: &message}}
			}
			m.send([]fsm.Send{s})
		}
	case relay.LivenessRequest:
		for _, s := range m.meter.Receive(now, relay.From, quotas.Answer{Probe: true}) {
			if message, ok := s.Msg.(quotas.Add); ok {
				m.send([]fsm.Send{{To: relay.RelayedBy, Msg: Relay{From: m.self, To: relay.From, Add: &message}}})
			}
		}
	case relay.Answer != nil:
		m.detourTo(relay.From).answeredVia(now, relay.RelayedBy, *relay.Answer)
		m.send(m.meter.Receive(now, relay.From, *relay.Answer))
	}
}
