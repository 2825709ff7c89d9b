package systemsim

import (
	"cmp"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"asterwell/internal/sysconfig"
)

// Away is a machine of the core that misses changes, and comes back while they go on.
type Away struct {
	How     string        // kill, wipe, putback
	Who     string        // primary, backup, witness: what it was
	Changes int           // that it misses
	Storm   bool          // changes go on when it is back
	Every   time.Duration // 0: ten changes a second
	ByCore  bool          // operators turn to the core: a large configuration does not get through another's link in time
	Routes  int           // of the configuration
	Sync    time.Duration
	Rate    float64 // of the core's links, bytes a second; 0: theirs
	Edge    bool    // a machine without a disk is away instead; its link has 2 Mbit/s
	Seed    uint64
	Bug     Bug
}

// Back is what its way back took.
type Back struct {
	Away
	Body        int           // bytes of a configuration
	Seat        time.Duration // until it had its seat in the epoch that serves
	Newest      time.Duration // until it had what was the newest acknowledged at that moment
	Bytes       int           // that came in until then
	Never       string        // what did not come to be
	Memory      uint64        // bytes on the heap of all machines at the end, of the whole play
	Stats       Stats
	AckWorst    time.Duration // of the storm's changes
	StormPassed int           // changes acknowledged while it came back
}

const (
	awayPace  = 100 * ms
	awayLimit = 20 * time.Second
)

// Return plays it.
func Return(a Away) Back {
	w := newWorld(a.Seed, a.Bug, nil)
	b := Back{Away: a}
	w.must("start 6 zones 3 core 3")
	g := newGauge(w)
	if a.Rate > 0 {
		g.coreRate = a.Rate
	}
	for _, p := range w.procs {
		if p.disk != nil {
			p.disk.pace = a.Sync
		}
	}
	w.must("servers pay 3; tenant t1 60 60 10")
	if a.ByCore {
		w.callers = w.core()
	}
	pace := cmp.Or(a.Every, awayPace)
	w.still, w.pad = true, a.Routes*routeSize
	w.must("run 1s; put 1; run 3s; copy all; put 2; run 2s")
	b.Body = len(w.orders[2].body)
	p := w.chosen(a)
	if p == nil {
		b.Never = "nobody leads"
		return b
	}
	w.change(func() { p.end(); w.hit(p) })
	w.run(4 * time.Second)
	version := uint32(2)
	put := func() {
		version++
		w.send(w.write(version), nil, 100*ms)
	}
	for range a.Changes {
		put()
		w.run(pace)
		w.forget()
	}
	w.run(time.Second)
	began, at, held := len(w.stats.Acks), w.now, w.acked
	p.load.in = 0
	switch {
	case p.disk == nil || a.How == "kill":
	case a.How == "wipe":
		p.disk.wipe()
	case a.How == "putback":
		p.disk.putBack()
	}
	w.change(func() { p.boot(); w.hit(p) })
	for w.now-at < awayLimit && w.stats.Broken == "" {
		if a.Storm {
			put()
		}
		for range 10 {
			w.run(pace / 10)
			b.look(w, p, at)
		}
		w.forget()
		if b.Seat > 0 && b.Newest > 0 && w.now-at > 3*time.Second {
			break
		}
	}
	switch {
	case w.stats.Broken != "":
		b.Never = w.stats.String()
	case b.Seat == 0:
		b.Never = fmt.Sprintf("%s has no seat after %v", p.name, awayLimit)
	case b.Newest == 0:
		b.Never = fmt.Sprintf("%s has version %d after %v, not %d", p.name, p.version, awayLimit, w.acked)
	}
	b.StormPassed = int(w.acked - held)
	for _, t := range w.stats.Acks[began:] {
		b.AckWorst = max(b.AckWorst, t)
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	b.Memory, b.Stats = m.HeapAlloc, w.stats
	return b
}

// look notes when the machine has its seat, and the newest.
func (b *Back) look(w *world, p *proc, at time.Duration) {
	if l := w.leader(); l != nil {
		s := p.k.ConsensusStatus()
		seated := b.Edge || s.Epoch == l.k.ConsensusStatus().Epoch && s.Role != "follower"
		switch {
		case !seated: // also one that was seated and is fenced
			b.Seat = 0
		case b.Seat == 0:
			b.Seat = w.now - at
		}
	}
	if b.Newest == 0 && p.version >= w.acked {
		b.Newest, b.Bytes = w.now-at, p.load.in
	}
}

// chosen is the machine that goes.
func (w *world) chosen(a Away) *proc {
	l := w.leader()
	if a.Edge || l == nil {
		return w.procs[4]
	}
	s := l.k.ConsensusStatus()
	for _, p := range w.core() {
		writes := len(s.Writers) > 1 && s.Writers[1] == p.addr
		switch {
		case a.Who == "primary" && p == l, a.Who == "backup" && writes, a.Who == "witness" && p != l && !writes:
			return p
		}
	}
	return nil
}

// forget drops orders that all have overtaken: a long play would hold thousands.
func (w *world) forget() {
	lowest := w.acked
	for _, p := range w.procs {
		if p.up {
			lowest = min(lowest, p.version)
		}
	}
	for v, o := range w.orders {
		if v > 2 && o.acked && v+50 < lowest { // the first two are on the disk of who is away
			delete(w.orders, v)
			delete(w.gauge.force, v)
		}
	}
}

// BodyOf is the bytes of a configuration of so many routes and tenants.
func BodyOf(routes, tenants int) []byte {
	c := sysconfig.Configuration{Epoch: "00000001", BoundsReq: sysconfig.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderReadMs: 3000, KeepaliveMs: 15000}}
	for i := range tenants {
		c.Principals = append(c.Principals, sysconfig.Principal{Name: fmt.Sprintf("tenant-%05d", i),
			Credentials: []string{fmt.Sprintf("key-of-tenant-%05d", i)}, RatePerS: 20, BurstSize: 40})
	}
	w := &world{pad: routes * routeSize}
	host := sysconfig.Socket{Authority: "host.example"}
	w.padded(&host, []string{"pay"})
	c.Sockets = []sysconfig.Socket{host}
	body, _ := json.Marshal(c)
	return body
}
