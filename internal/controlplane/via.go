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

// Via carries a meter's add past a cut: to a counter's holder, or its answer back,
// through a process that both reach. Without it a gateway that is cut off from the
// holders alone passes its even share on top of all that the others pass. A holder's
// question for a sign of life goes the same way.
type Via struct {
	From   string            `cbor:"1,keyasint"`
	To     string            `cbor:"2,keyasint"`
	By     string            `cbor:"3,keyasint,omitempty"`
	Add    *quotas.Add       `cbor:"4,keyasint,omitempty"`
	Answer *quotas.Answer    `cbor:"5,keyasint,omitempty"`
	Ask    bool              `cbor:"6,keyasint,omitempty"`
	Drain  *drainpermit.Word `cbor:"7,keyasint,omitempty"` // straight; a program of the version before takes no notice
}

// detour is a way round to one holder.
type detour struct {
	by       string
	till     fsm.Time // an answer that came straight ends it sooner
	tried    fsm.Time // when a way was last looked for
	answered fsm.Time // the stamp of the newest add that was answered straight
}

// may reports whether to look for a way now. Answers that are late on a full link, or from a
// holder that can't keep up, look like none, and each look costs four messages on links as full: so
// the more gateways there are, the more seldom each looks.
func (d *detour) may(now fsm.Time, gateways int) bool {
	if d.tried > 0 && now-d.tried < max(lookGap, time.Duration(gateways)*lookEach) {
		return false
	}
	d.tried = now
	return true
}

// straight ends a way round: its end has answered by itself.
func (d *detour) straight(a quotas.Answer) {
	d.by, d.till = "", 0
	if stamp, ok := a.RequestTimestamp(); ok {
		d.answered = max(d.answered, stamp)
	}
}

// open takes a way that an answer has come by, if that add, or a later one, wasn't answered straight too: else each way
// would keep itself open, since while there is one each add goes both ways.
func (d *detour) open(now fsm.Time, by string, a quotas.Answer) {
	if stamp, ok := a.RequestTimestamp(); ok && stamp > d.answered {
		d.by, d.till = by, now+detourFor
	}
}

const (
	detourFor = 3 * time.Second
	detours   = 2     // tried at once
	mostBlind = fewer // gateways asked round between two ticks
	lookGap   = 100 * time.Millisecond
	lookEach  = 2500 * time.Microsecond // for each gateway: a holder is told of by 800 ways a second at most
)

// count sends what the meter wants told, and round what keeps silent. A holder that
// gets an add twice counts it once. Of a large fleet only a question goes round until a way is known: where
// the holder can't keep up, each of hundreds would carry its whole add by two ways else, and there is no way then
// that is quicker. The next add takes the way that was found.
func (k *Knot) count(now fsm.Time) {
	adds := k.meter.Tick(now)
	k.send(adds)
	for _, s := range adds {
		add, ok := s.Msg.(quotas.Add)
		if !ok || s.To == k.self {
			continue
		}
		d := k.detour(s.To)
		if d.till > now {
			k.send([]fsm.Send{{To: d.by, Msg: Via{From: k.self, To: s.To, Add: &add}}})
		}
		// A way that is open is no reason not to look for another: whom it goes by may be gone.
		if !k.stood && k.meter.ReadOverdue(now, s.To) && d.may(now, k.seen) {
			if k.seen > fewer {
				add = add.WithoutItems()
			}
			k.around(s.To, Via{From: k.self, To: s.To, Add: &add})
		}
	}
}

// detour is what is known of ways round to a holder.
func (k *Knot) detour(holder string) *detour {
	d := k.round[holder]
	if d == nil {
		d = &detour{}
		k.round[holder] = d
	}
	return d
}

// look asks for the signs of life that the counter wants, and round where they stay out. Where more stay out than a
// part of a large fleet, it is rather this process that is late, or the links: then some are asked round, in turn,
// and none by one that stood still itself. Else each late answer would cost two messages more, in ever larger numbers.
func (k *Knot) look(now fsm.Time, asks []fsm.Send) {
	k.send(asks)
	if k.stood {
		return
	}
	blind := lo.Filter(asks, func(s fsm.Send, _ int) bool { return k.counter.ProbeOverdue(now, s.To) })
	if n := len(blind); n > mostBlind {
		at := k.asking % n
		k.asking += mostBlind
		blind = append(blind[at:], blind[:at]...)[:mostBlind]
	}
	for _, s := range blind {
		k.around(s.To, Via{From: k.self, To: s.To, Ask: true})
	}
}

// around sends by all of a few ways.
func (k *Knot) around(to string, v Via) {
	for _, by := range k.ways(to) {
		k.send([]fsm.Send{{To: by, Msg: v}})
	}
}

// ways are a few processes in turn that may reach a holder.
func (k *Knot) ways(holder string) (by []string) {
	up := lo.FilterMap(k.bond.Up(), func(n memberlist.Node, _ int) (string, bool) {
		return n.Addr, n.Addr != k.self && n.Addr != holder
	})
	for range min(detours, len(up)) {
		k.turn++
		by = append(by, up[k.turn%len(up)])
	}
	return slices.Compact(by)
}

// via takes a message that goes round, or passes it on.
func (k *Knot) via(now fsm.Time, from string, v Via) {
	switch {
	case v.To != k.self:
		if v.By == "" { // one step only
			v.By = k.self
			k.send([]fsm.Send{{To: v.To, Msg: v}})
		}
	case v.Drain != nil:
		k.cede.Fit(k.fit(), k.leaving)
		k.ceded(k.cede.Take(now, v.From, *v.Drain))
	case v.Add != nil:
		for _, s := range k.counter.Receive(now, v.From, *v.Add) {
			if a, ok := s.Msg.(quotas.Answer); ok && s.To == v.From {
				s = fsm.Send{To: v.By, Msg: Via{From: k.self, To: v.From, Answer: &a}}
			}
			k.send([]fsm.Send{s})
		}
	case v.Ask:
		for _, s := range k.meter.Receive(now, v.From, quotas.Answer{Probe: true}) {
			if a, ok := s.Msg.(quotas.Add); ok {
				k.send([]fsm.Send{{To: v.By, Msg: Via{From: k.self, To: v.From, Add: &a}}})
			}
		}
	case v.Answer != nil:
		k.detour(v.From).open(now, v.By, *v.Answer)
		k.send(k.meter.Receive(now, v.From, *v.Answer))
	}
}
