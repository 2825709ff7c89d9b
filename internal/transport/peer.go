package transport

import (
	"cmp"
	"errors"
	"io"
	"log"
	"slices"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/hostenv"
	"asterwell/internal/mailbox"
)

// End tells how an exchange ended.
type End int

// The ends of an exchange.
const (
	Answered End = iota
	NotSent      // the last byte was never written: it can't have run
	Broken       // the connection ended after that: it may have run
	Spoilt       // what came is no answer: it may have run
)

// Result is the end of the exchange that Key names. The answer belongs to
// whoever takes it.
type Result[K comparable] struct {
	Key    K
	Note   any // as given with Send
	End    End
	Answer *fasthttp.Response
}

// PeerOptions are the limits of the connections to one server.
type PeerOptions struct {
	World   hostenv.Host  // nil: the real one
	Connect time.Duration // until a connection is given up
	Keep    *Keep         // an unused connection is closed after this, well before the server does
	Sockets *Sockets
	Wrote   func(note any) // hears of each exchange whose last byte has been written; nil: nobody does
	Strict  bool           // an answer whose end or beginning is in doubt is spoilt: see Conn.strict
	Bug     Bug
}

// Bug switches a guard off, to show that the judges miss it.
type Bug uint8

// The guards.
const (
	BugAnyName Bug = iota + 1 // whatever comes is taken for the answer
	BugSameWay                // a name may go by one connection twice
	BugUnsent                 // a break of a used connection counts as not sent
	BugNoDoubt                // where an answer begins and ends is not doubted
)

// Peer is the actor that owns all connections to one server. Each carries one
// exchange at a time; an idle one is reused newest first, so that the others
// age and close.
type Peer[K comparable] struct {
	addr string
	opt  PeerOptions
	box  *mailbox.Box[any]
	done func(Result[K])

	idle    []*link[K] // the newest last
	busy    map[K]*link[K]
	waiting []*order[K] // for a connection, the oldest first
	dialing int
	streams int // answers that are being read
	uploads int // bodies that are being written
	stopped bool
	ended   atomic.Bool
}

type link[K comparable] struct {
	conn  *Conn
	under *order[K]     // the exchange under way
	since time.Time     // idle since then
	idled time.Duration // before the exchange under way
	wrote time.Time
	open  bool

	uploads Upload // under way
	half    bool   // its last request did not go out whole
	number  uint64 // in this process, that no other connection has had
}

type order[K comparable] struct {
	key  K
	wire []byte
	note any

	whole atomic.Bool // its last byte has been written, or may have been
}

type (
	cancel[K comparable] struct{ key K }
	dialed               struct {
		conn *Conn
		err  error
	}
	heard[K comparable] struct {
		link  *link[K]
		resp  *fasthttp.Response
		extra bool // more than the answer has come
		err   error

		stream bool // the body is still to be read
	}
	stop struct{}
)

// writeLimit bounds the time that a write may hold the actor up. A request
// fits into an idle socket's buffers; it can't be written where a machine has
// been silent for longer than that buffer lasts.
const writeLimit = 50 * time.Millisecond

// NewPeer starts the actor of the server at addr. It calls done for each
// exchange that ends by itself; nothing is heard of a cancelled one.
func NewPeer[K comparable](addr string, opt PeerOptions, done func(Result[K])) *Peer[K] {
	opt.World = hostenv.OrReal(opt.World)
	p := &Peer[K]{addr: addr, opt: opt, box: mailbox.NewBox[any](opt.World), busy: map[K]*link[K]{},
		done: func(r Result[K]) { opt.Sockets.under.Add(-1); done(r) }}
	opt.World.Go(p.run)
	return p
}

func (p *Peer[K]) now() time.Time { return p.opt.World.Now() }

// Send begins an exchange.
func (p *Peer[K]) Send(key K, wire []byte, note any) {
	p.box.Put(&order[K]{key: key, wire: wire, note: note})
}

// Cancel gives an exchange up and closes its connection.
func (p *Peer[K]) Cancel(key K) { p.box.Put(cancel[K]{key}) }

// Stop ends the actor once nothing is under way.
func (p *Peer[K]) Stop() { p.box.Put(stop{}) }

// Ended reports whether a stopped actor has ended. Nothing is under way then.
func (p *Peer[K]) Ended() bool { return p.ended.Load() }

func (p *Peer[K]) run() {
	defer p.ended.Store(true)
	for !p.stopped || len(p.busy) > 0 || len(p.waiting) > 0 || p.dialing > 0 || p.streams > 0 || p.uploads > 0 {
		for _, m := range p.box.Take(p.age()) {
			switch m := m.(type) {
			case *order[K]:
				p.opt.Sockets.under.Add(1)
				p.send(m)
			case cancel[K]:
				p.cancel(m.key)
			case dialed:
				p.dialed(m)
			case heard[K]:
				p.heard(m)
			case streamed[K]:
				p.streamed(m)
			case uploaded[K]:
				p.uploaded(m)
			case stop:
				p.stopped = true
			}
		}
	}
	for _, l := range p.idle {
		p.close(l)
	}
}

// age closes connections that have been idle too long, and tells when the next
// one will be. A request written to one that the server has closed would be a
// reset, and nobody could tell whether it ran.
func (p *Peer[K]) age() time.Duration {
	old := 0
	for _, l := range p.idle {
		left := p.opt.Keep.Limit(p.now()) - p.now().Sub(l.since)
		if left > 0 && !p.stopped {
			p.idle = append(p.idle[:0], p.idle[old:]...)
			return left
		}
		p.close(l)
		old++
	}
	p.idle = p.idle[:0]
	return -1
}

// settled is how long a connection has to be quiet after an answer before it
// carries the next request. Some servers send more than the answer: what comes
// within this time ends the connection, and is not taken for the next answer.
const settled = 3 * time.Millisecond

func (p *Peer[K]) send(o *order[K]) {
	now := p.now()
	for i := len(p.idle) - 1; i >= 0; i-- {
		l := p.idle[i]
		if l.open && now.Sub(l.since) < settled {
			continue
		}
		if p.opt.Bug != BugSameWay && tripsOf(o.note).has(l.number) {
			continue // a late copy of its former answer would bear its name
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if l.open && now.Sub(l.since) < p.opt.Keep.Limit(now) && l.conn.Quiet() {
			p.write(l, o)
			return
		}
		p.close(l)
	}
	if !p.opt.Sockets.take() {
		log.Printf("event=sockets server=%s used=%d what=%q", p.addr, p.opt.Sockets.Used(), "none left, attempt not sent")
		p.done(Result[K]{o.key, o.note, NotSent, nil})
		return
	}
	p.waiting = append(p.waiting, o)
	p.dialing++
	p.opt.World.Go(func() {
		conn, err := Dial(p.opt.World, p.addr, p.opt.Connect)
		p.box.Put(dialed{conn, err})
	})
}

func (p *Peer[K]) dialed(m dialed) {
	p.dialing--
	if m.err != nil {
		p.opt.Sockets.give()
		// Others' dials may serve the rest; one that has none coming has failed.
		for len(p.waiting) > p.dialing {
			o := p.waiting[0]
			p.waiting = p.waiting[1:]
			p.done(Result[K]{o.key, o.note, NotSent, nil})
		}
		return
	}
	l := &link[K]{conn: m.conn, open: true, number: lastConn.Add(1)}
	l.conn.streams, l.conn.strict = true, p.opt.Strict && p.opt.Bug != BugNoDoubt
	p.opt.World.Go(func() {
		for {
			resp := fasthttp.AcquireResponse()
			extra, err := l.conn.Read(resp)
			last := extra || err != nil || resp.ConnectionClose()
			long, _ := resp.BodyStream().(*body)
			p.box.Put(heard[K]{l, resp, extra, err, long != nil}) // from here on the answer is somebody else's
			if long != nil {
				long.bell.Wait(-1)
				last = last || long.err != io.EOF || l.conn.br.Buffered() > 0
				p.box.Put(streamed[K]{l, !last})
			}
			if last {
				return
			}
		}
	})
	p.free(l)
}

// free gives a connection to the oldest exchange that waits for one, or keeps it.
func (p *Peer[K]) free(l *link[K]) {
	switch {
	case len(p.waiting) > 0 && l.since.IsZero(): // a new one; a used one has to settle
		o := p.waiting[0]
		p.waiting = p.waiting[1:]
		p.write(l, o)
	case p.opt.Sockets.scarce():
		p.close(l)
	default:
		l.since = p.now()
		p.idle = append(p.idle, l)
	}
}

func (p *Peer[K]) write(l *link[K], o *order[K]) {
	if err := l.conn.begin(o.wire, writeLimit); err != nil {
		p.close(l)
		p.done(Result[K]{o.key, o.note, NotSent, nil})
		return
	}
	tripsOf(o.note).add(l.number)
	l.under, l.wrote, l.idled = o, p.now(), 0
	if !l.since.IsZero() {
		l.idled = l.wrote.Sub(l.since)
	}
	p.busy[o.key] = l
	if up := uploadOf(o.note); up != nil {
		p.upload(l, o, up)
		return
	}
	o.whole.Store(true)
	if p.opt.Wrote != nil {
		p.opt.Wrote(o.note)
	}
}

func (p *Peer[K]) heard(m heard[K]) {
	l, o := m.link, m.link.under
	l.under = nil
	if l.uploads != nil { // answered, or broken, before all was sent
		l.uploads.Stop()
		l.half, m.extra = true, true
	}
	if o != nil && m.err == nil && p.opt.Bug != BugAnyName && !owns(o.note, m.resp) {
		m.err = errForeign
	}
	if m.stream {
		p.streams++
		if o != nil && o.note != nil && m.err == nil {
			delete(p.busy, o.key)
			p.done(Result[K]{o.key, o.note, Answered, m.resp})
			return
		}
		m.err = cmp.Or(m.err, errSpoilt) // for a probe, or for nobody
	}
	if m.extra || m.err != nil || m.resp.ConnectionClose() || o == nil {
		p.close(l) // an answer that nobody asked for is no good sign either
	}
	if o != nil {
		delete(p.busy, o.key)
	}
	if m.err != nil || o == nil {
		fasthttp.ReleaseResponse(m.resp)
	}
	if o != nil && l.idled > 0 {
		now := p.now()
		broke := m.err != nil && !errors.Is(m.err, errSpoilt) && now.Sub(l.wrote) < atOnce
		p.opt.Keep.used(l.idled, broke, now)
	}
	switch {
	case o == nil:
	case errors.Is(m.err, errSpoilt):
		log.Printf("event=spoilt server=%s error=%q", p.addr, m.err)
		p.done(Result[K]{o.key, o.note, Spoilt, nil})
	case m.err != nil && (!o.whole.Load() || p.opt.Bug == BugUnsent && l.idled > 0):
		p.done(Result[K]{o.key, o.note, NotSent, nil})
	case m.err != nil:
		p.done(Result[K]{o.key, o.note, Broken, nil})
	default:
		p.done(Result[K]{o.key, o.note, Answered, m.resp})
		if l.open {
			p.free(l)
		}
	}
}

func (p *Peer[K]) cancel(key K) {
	if l := p.busy[key]; l != nil {
		p.opt.Sockets.under.Add(-1)
		delete(p.busy, key)
		l.under = nil
		if l.uploads != nil {
			l.uploads.Stop()
		}
		p.close(l)
		return
	}
	for i, o := range p.waiting {
		if o.key == key { // its connection will serve another
			p.opt.Sockets.under.Add(-1)
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
	}
}

func (p *Peer[K]) close(l *link[K]) {
	if l.open {
		l.open = false
		l.conn.Close()
		p.opt.Sockets.give()
	}
}
