package transport

import (
	"cmp"
	"errors"
	"io"
	"log"
	"os"
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
	NotSent                // its header was not written completely: the request can't have run
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
	key      K
	wire     []byte
	note     any
	deadline time.Time // of the request

	begun bool // the server has its header, and may have begun to run it
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

// writeLimit bounds how long a write may block the actor. What a connection does not take
// in this time is written by a goroutine of its own.
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

// Send starts an exchange. left is how much time its request has left: the caller cancels it once that is over, unless the
// beginning of a streamed response has been received by then.
func (p *Peer[K]) Send(key K, wire []byte, note any, left time.Duration) {
	p.inbox.Put(&exchange[K]{key: key, wire: wire, note: note, deadline: p.now().Add(left)})
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
	for _, pc := range p.idle {
		p.close(pc)
	}
}

// closeExpired closes connections that have been idle too long, and returns the time
// until the next one expires. A request written to a connection that the server has
// closed would be reset, and it would be unknown whether it ran.
func (p *Peer[K]) closeExpired() time.Duration {
	expired := 0
	for _, pc := range p.idle {
		left := p.opt.IdleTimeout.Limit(p.now()) - p.now().Sub(pc.idleSince)
		if left > 0 && !p.stopped {
			p.idle = append(p.idle[:0], p.idle[expired:]...)
			return left
		}
		p.close(pc)
		expired++
	}
	p.idle = p.idle[:0]
	return -1
}

// settleTime is how long a connection must be quiet after a response before it carries
// the next request. Some servers send extra bytes: those received within this time close
// the connection, and are not taken for the next response.
const settleTime = 3 * time.Millisecond

func (p *Peer[K]) send(ex *exchange[K]) {
	now := p.now()
	for i := len(p.idle) - 1; i >= 0; i-- {
		pc := p.idle[i]
		if pc.open && now.Sub(pc.idleSince) < settleTime {
			continue
		}
		if p.opt.Bug != BugReuseConn && historyOf(ex.note).contains(pc.number) {
			continue // a late duplicate of the previous attempt's response would have the same ID
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if pc.open && now.Sub(pc.idleSince) < p.opt.IdleTimeout.Limit(now) && pc.conn.Quiet() {
			p.write(pc, ex)
			return
		}
		p.close(pc)
	}
	if !p.opt.ConnLimit.acquire() {
		log.Printf("event=sockets server=%s used=%d what=%q", p.addr, p.opt.ConnLimit.Used(), "none left, attempt not sent")
		p.onResult(Result[K]{ex.key, ex.note, NotSent, nil})
		return
	}
	p.waiting = append(p.waiting, ex)
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
			ex := p.waiting[0]
			p.waiting = p.waiting[1:]
			p.onResult(Result[K]{ex.key, ex.note, NotSent, nil})
		}
		return
	}
	pc := &peerConn[K]{conn: m.conn, open: true, number: lastConnNumber.Add(1)}
	pc.conn.allowStreams, pc.conn.rejectUnsolicited, pc.conn.strict = true, true, p.opt.Strict && p.opt.Bug != BugNotStrict
	p.opt.Host.Go(func() {
		for {
			resp := fasthttp.AcquireResponse()
			extra, err := pc.conn.Read(resp)
			last := extra || err != nil || resp.ConnectionClose()
			long, _ := resp.BodyStream().(*streamedBody)
			p.inbox.Put(responseRead[K]{pc, resp, extra, err, long != nil}) // the receiver owns resp from here on
			if long != nil {
				long.done.Wait(-1)
				last = last || long.err != io.EOF || pc.conn.br.Buffered() > 0
				p.inbox.Put(streamed[K]{pc, !last})
			}
			if last {
				return
			}
		}
	})
	p.release(pc)
}

// release assigns a connection to the oldest waiting exchange, or adds it to the idle ones.
func (p *Peer[K]) release(pc *peerConn[K]) {
	switch {
	case len(p.waiting) > 0 && pc.idleSince.IsZero(): // only a new connection; a used one has to settle
		o := p.waiting[0]
		p.waiting = p.waiting[1:]
		p.write(pc, o)
	case p.opt.ConnLimit.nearlyExhausted():
		p.close(pc)
	default:
		pc.idleSince = p.now()
		p.idle = append(p.idle, pc)
	}
}

func (p *Peer[K]) write(pc *peerConn[K], ex *exchange[K]) {
	written, begun, err := pc.conn.writeRequest(ex.wire, writeLimit)
	ex.begun = begun
	slow := begun && errors.Is(err, os.ErrDeadlineExceeded)
	if err != nil && !slow {
		p.close(pc)
		p.onResult(Result[K]{ex.key, ex.note, ex.lost(), nil})
		return
	}
	historyOf(ex.note).add(pc.number)
	pc.exchange, pc.sentAt, pc.idleBefore = ex, p.now(), 0
	if !pc.idleSince.IsZero() {
		pc.idleBefore = pc.sentAt.Sub(pc.idleSince)
	}
	p.busy[ex.key] = pc
	rest := uploadOf(ex.note)
	if slow {
		rest = &remainder{ex.wire[written:], rest}
	}
	if rest != nil {
		p.upload(pc, ex, rest)
		return
	}
	if p.opt.OnSent != nil {
		p.opt.OnSent(ex.note)
	}
}

// lost returns the outcome of an exchange whose connection was lost.
func (ex *exchange[K]) lost() Outcome {
	if ex.begun {
		return ConnectionLost
	}
	return NotSent
}

func (p *Peer[K]) handleResponse(m responseRead[K]) {
	pc, ex := m.conn, m.conn.exchange
	pc.exchange = nil
	if pc.upload != nil { // answered or lost before the request was sent completely
		pc.upload.Stop()
		pc.incomplete, m.extra = true, true
	}
	if ex != nil && m.err == nil && p.opt.Bug != BugAcceptForeign && !matches(ex.note, m.resp) {
		m.err = errForeignResponse
	}
	if m.stream {
		p.streams++
		if ex != nil && ex.note != nil && m.err == nil {
			delete(p.busy, ex.key)
			m.resp.BodyStream().(*streamedBody).deadline = ex.deadline
			p.onResult(Result[K]{ex.key, ex.note, Answered, m.resp})
			return
		}
		m.err = cmp.Or(m.err, errInvalidResponse) // streamed to a probe, or unsolicited
	}
	if m.extra || m.err != nil || m.resp.ConnectionClose() || ex == nil {
		p.close(pc) // an unsolicited response also makes the connection unusable
	}
	if ex != nil {
		delete(p.busy, ex.key)
	}
	if m.err != nil || ex == nil {
		fasthttp.ReleaseResponse(m.resp)
	}
	if ex != nil && pc.idleBefore > 0 {
		now := p.now()
		broke := m.err != nil && !errors.Is(m.err, errInvalidResponse) && now.Sub(pc.sentAt) < immediateLoss
		p.opt.IdleTimeout.observe(pc.idleBefore, broke, now)
	}
	switch {
	case ex == nil:
	case errors.Is(m.err, errInvalidResponse):
		log.Printf("event=spoilt server=%s error=%q", p.addr, m.err)
		p.onResult(Result[K]{ex.key, ex.note, Invalid, nil})
	case m.err != nil && p.opt.Bug == BugLostIsNotSent && pc.idleBefore > 0:
		p.onResult(Result[K]{ex.key, ex.note, NotSent, nil})
	case m.err != nil:
		p.onResult(Result[K]{ex.key, ex.note, ex.lost(), nil})
	default:
		p.onResult(Result[K]{ex.key, ex.note, Answered, m.resp})
		if pc.open {
			p.release(pc)
		}
	}
}

func (p *Peer[K]) cancel(key K) {
	if pc := p.busy[key]; pc != nil {
		p.opt.ConnLimit.inFlight.Add(-1)
		delete(p.busy, key)
		pc.exchange = nil
		if pc.upload != nil {
			pc.upload.Stop()
		}
		p.close(pc)
		return
	}
	for i, ex := range p.waiting {
		if ex.key == key { // the pending dial will serve another exchange
			p.opt.ConnLimit.inFlight.Add(-1)
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
	}
}

func (p *Peer[K]) close(pc *peerConn[K]) {
	if pc.open {
		pc.open = false
		pc.conn.Close()
		p.opt.ConnLimit.release()
	}
}
