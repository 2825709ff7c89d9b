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

// Outcome is how an exchange ended.
type Outcome int

// The outcomes of an exchange.
const (
	Answered       Outcome = iota
	NotSent                // the last byte was not written: the request can't have run
	ConnectionLost         // the connection ended later: the request may have run
	Invalid                // the received data is not a valid response: the request may have run
)

// Result is the outcome of the exchange identified by Key. The receiver owns Answer.
type Result[K comparable] struct {
	Key     K
	Note    any // as passed to Send
	Outcome Outcome
	Answer  *fasthttp.Response
}

// PeerOptions configures the connections to one server.
type PeerOptions struct {
	Host           hostenv.Host  // nil: hostenv.Real
	ConnectTimeout time.Duration // for establishing a connection
	IdleTimeout    *IdleTimeout  // idle connections are closed after this, well before the server closes them
	ConnLimit      *ConnLimit
	OnSent         func(note any) // called for each exchange whose last byte has been written; may be nil
	Strict         bool           // reject responses whose start or end is ambiguous: see Conn.strict
	Bug            Bug
}

// Bug disables a check, to verify that the tests detect its absence.
type Bug uint8

// The checks that can be disabled.
const (
	BugAcceptForeign Bug = iota + 1 // responses are accepted whatever their correlation ID
	BugReuseConn                    // attempts with one correlation ID may use a connection twice
	BugLostIsNotSent                // losing a reused connection counts as not sent
	BugNotStrict                    // Strict has no effect
)

// Peer is the actor that owns all connections to one server. Each connection carries
// one exchange at a time. The most recently idle one is reused first, so that the others
// reach the idle timeout and close.
type Peer[K comparable] struct {
	addr     string
	opt      PeerOptions
	inbox    *mailbox.Box[any]
	onResult func(Result[K])

	idle       []*peerConn[K] // the most recent last
	busy       map[K]*peerConn[K]
	waiting    []*exchange[K] // exchanges that wait for a connection, oldest first
	dialing    int
	streams    int // responses being streamed
	uploads    int // request bodies being written
	stopped    bool
	terminated atomic.Bool
}

type peerConn[K comparable] struct {
	conn       *Conn
	exchange   *exchange[K]  // the current exchange
	idleSince  time.Time     // zero for a new connection
	idleBefore time.Duration // idle time before the current exchange
	sentAt     time.Time
	open       bool

	upload     Upload // in progress; nil: none
	incomplete bool   // its last request was not written completely
	number     uint64 // unique within the process
}

type exchange[K comparable] struct {
	key  K
	wire []byte
	note any

	sent atomic.Bool // the last byte has been written, or may have been
}

type (
	cancel[K comparable] struct{ key K }
	dialed               struct {
		conn *Conn
		err  error
	}
	responseRead[K comparable] struct {
		conn  *peerConn[K]
		resp  *fasthttp.Response
		extra bool // there are bytes behind the response
		err   error

		stream bool // the body is still being streamed
	}
	stop struct{}
)

// writeLimit bounds how long a write may block the actor. A request fits into the
// buffer of an idle socket; a write that blocks means that the server has stopped
// acknowledging data.
const writeLimit = 50 * time.Millisecond

// NewPeer starts the actor for the server at addr. It calls done for each exchange
// that ends, except for cancelled ones.
func NewPeer[K comparable](addr string, opt PeerOptions, done func(Result[K])) *Peer[K] {
	opt.Host = hostenv.OrReal(opt.Host)
	p := &Peer[K]{addr: addr, opt: opt, inbox: mailbox.NewBox[any](opt.Host), busy: map[K]*peerConn[K]{},
		onResult: func(r Result[K]) { opt.ConnLimit.inFlight.Add(-1); done(r) }}
	opt.Host.Go(p.run)
	return p
}

func (p *Peer[K]) now() time.Time { return p.opt.Host.Now() }

// Send starts an exchange.
func (p *Peer[K]) Send(key K, wire []byte, note any) {
	p.inbox.Put(&exchange[K]{key: key, wire: wire, note: note})
}

// Cancel aborts an exchange and closes its connection.
func (p *Peer[K]) Cancel(key K) { p.inbox.Put(cancel[K]{key}) }

// Stop ends the actor once no exchange is in progress.
func (p *Peer[K]) Stop() { p.inbox.Put(stop{}) }

// Ended reports whether a stopped actor has ended, with no exchange in progress.
func (p *Peer[K]) Ended() bool { return p.terminated.Load() }

func (p *Peer[K]) run() {
	defer p.terminated.Store(true)
	for !p.stopped || len(p.busy) > 0 || len(p.waiting) > 0 || p.dialing > 0 || p.streams > 0 || p.uploads > 0 {
		for _, m := range p.inbox.Take(p.closeExpired()) {
			switch m := m.(type) {
			case *exchange[K]:
				p.opt.ConnLimit.inFlight.Add(1)
				p.send(m)
			case cancel[K]:
				p.cancel(m.key)
			case dialed:
				p.handleDialed(m)
			case responseRead[K]:
				p.handleResponse(m)
			case streamed[K]:
				p.handleStreamed(m)
			case uploaded[K]:
				p.handleUploaded(m)
			case stop:
				p.stopped = true
			}
		}
	}
	for _, l := range p.idle {
		p.close(l)
	}
}

// closeExpired closes connections that have been idle too long, and returns the time
// until the next one expires. A request written to a connection that the server has
// closed would be reset, and it would be unknown whether it ran.
func (p *Peer[K]) closeExpired() time.Duration {
	old := 0
	for _, l := range p.idle {
		left := p.opt.IdleTimeout.Limit(p.now()) - p.now().Sub(l.idleSince)
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

// settleTime is how long a connection must be quiet after a response before it carries
// the next request. Some servers send extra bytes: those received within this time close
// the connection, and are not taken for the next response.
const settleTime = 3 * time.Millisecond

func (p *Peer[K]) send(o *exchange[K]) {
	now := p.now()
	for i := len(p.idle) - 1; i >= 0; i-- {
		l := p.idle[i]
		if l.open && now.Sub(l.idleSince) < settleTime {
			continue
		}
		if p.opt.Bug != BugReuseConn && historyOf(o.note).contains(l.number) {
			continue // a late duplicate of the previous attempt's response would have the same ID
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if l.open && now.Sub(l.idleSince) < p.opt.IdleTimeout.Limit(now) && l.conn.Quiet() {
			p.write(l, o)
			return
		}
		p.close(l)
	}
	if !p.opt.ConnLimit.acquire() {
		log.Printf("event=sockets server=%s used=%d what=%q", p.addr, p.opt.ConnLimit.Used(), "none left, attempt not sent")
		p.onResult(Result[K]{o.key, o.note, NotSent, nil})
		return
	}
	p.waiting = append(p.waiting, o)
	p.dialing++
	p.opt.Host.Go(func() {
		conn, err := Dial(p.opt.Host, p.addr, p.opt.ConnectTimeout)
		p.inbox.Put(dialed{conn, err})
	})
}

func (p *Peer[K]) handleDialed(m dialed) {
	p.dialing--
	if m.err != nil {
		p.opt.ConnLimit.release()
		// Pending dials may serve other waiting exchanges; those beyond their number have failed.
		for len(p.waiting) > p.dialing {
			o := p.waiting[0]
			p.waiting = p.waiting[1:]
			p.onResult(Result[K]{o.key, o.note, NotSent, nil})
		}
		return
	}
	l := &peerConn[K]{conn: m.conn, open: true, number: lastConnNumber.Add(1)}
	l.conn.allowStreams, l.conn.strict = true, p.opt.Strict && p.opt.Bug != BugNotStrict
	p.opt.Host.Go(func() {
		for {
			resp := fasthttp.AcquireResponse()
			extra, err := l.conn.Read(resp)
			last := extra || err != nil || resp.ConnectionClose()
			long, _ := resp.BodyStream().(*streamedBody)
			p.inbox.Put(responseRead[K]{l, resp, extra, err, long != nil}) // the receiver owns resp from here on
			if long != nil {
				long.done.Wait(-1)
				last = last || long.err != io.EOF || l.conn.br.Buffered() > 0
				p.inbox.Put(streamed[K]{l, !last})
			}
			if last {
				return
			}
		}
	})
	p.release(l)
}

// release assigns a connection to the oldest waiting exchange, or adds it to the idle ones.
func (p *Peer[K]) release(l *peerConn[K]) {
	switch {
	case len(p.waiting) > 0 && l.idleSince.IsZero(): // only a new connection; a used one has to settle
		o := p.waiting[0]
		p.waiting = p.waiting[1:]
		p.write(l, o)
	case p.opt.ConnLimit.nearlyExhausted():
		p.close(l)
	default:
		l.idleSince = p.now()
		p.idle = append(p.idle, l)
	}
}

func (p *Peer[K]) write(l *peerConn[K], o *exchange[K]) {
	if err := l.conn.writeRequest(o.wire, writeLimit); err != nil {
		p.close(l)
		p.onResult(Result[K]{o.key, o.note, NotSent, nil})
		return
	}
	historyOf(o.note).add(l.number)
	l.exchange, l.sentAt, l.idleBefore = o, p.now(), 0
	if !l.idleSince.IsZero() {
		l.idleBefore = l.sentAt.Sub(l.idleSince)
	}
	p.busy[o.key] = l
	if up := uploadOf(o.note); up != nil {
		p.upload(l, o, up)
		return
	}
	o.sent.Store(true)
	if p.opt.OnSent != nil {
		p.opt.OnSent(o.note)
	}
}

func (p *Peer[K]) handleResponse(m responseRead[K]) {
	l, o := m.conn, m.conn.exchange
	l.exchange = nil
	if l.upload != nil { // answered or lost before the request was sent completely
		l.upload.Stop()
		l.incomplete, m.extra = true, true
	}
	if o != nil && m.err == nil && p.opt.Bug != BugAcceptForeign && !matches(o.note, m.resp) {
		m.err = errForeignResponse
	}
	if m.stream {
		p.streams++
		if o != nil && o.note != nil && m.err == nil {
			delete(p.busy, o.key)
			p.onResult(Result[K]{o.key, o.note, Answered, m.resp})
			return
		}
		m.err = cmp.Or(m.err, errInvalidResponse) // streamed to a probe, or unsolicited
	}
	if m.extra || m.err != nil || m.resp.ConnectionClose() || o == nil {
		p.close(l) // an unsolicited response also makes the connection unusable
	}
	if o != nil {
		delete(p.busy, o.key)
	}
	if m.err != nil || o == nil {
		fasthttp.ReleaseResponse(m.resp)
	}
	if o != nil && l.idleBefore > 0 {
		now := p.now()
		broke := m.err != nil && !errors.Is(m.err, errInvalidResponse) && now.Sub(l.sentAt) < immediateLoss
		p.opt.IdleTimeout.observe(l.idleBefore, broke, now)
	}
	switch {
	case o == nil:
	case errors.Is(m.err, errInvalidResponse):
		log.Printf("event=spoilt server=%s error=%q", p.addr, m.err)
		p.onResult(Result[K]{o.key, o.note, Invalid, nil})
	case m.err != nil && (!o.sent.Load() || p.opt.Bug == BugLostIsNotSent && l.idleBefore > 0):
		p.onResult(Result[K]{o.key, o.note, NotSent, nil})
	case m.err != nil:
		p.onResult(Result[K]{o.key, o.note, ConnectionLost, nil})
	default:
		p.onResult(Result[K]{o.key, o.note, Answered, m.resp})
		if l.open {
			p.release(l)
		}
	}
}

func (p *Peer[K]) cancel(key K) {
	if l := p.busy[key]; l != nil {
		p.opt.ConnLimit.inFlight.Add(-1)
		delete(p.busy, key)
		l.exchange = nil
		if l.upload != nil {
			l.upload.Stop()
		}
		p.close(l)
		return
	}
	for i, o := range p.waiting {
		if o.key == key { // the pending dial will serve another exchange
			p.opt.ConnLimit.inFlight.Add(-1)
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
	}
}

func (p *Peer[K]) close(l *peerConn[K]) {
	if l.open {
		l.open = false
		l.conn.Close()
		p.opt.ConnLimit.release()
	}
}
