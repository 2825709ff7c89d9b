// Package mesh has the connections between processes: one out to each address that
// is sent to, and those that come in. What a frame is, its user says. Frames to one
// address keep their order; any may be lost, and nobody waits for a slow peer.
package mesh

import (
	"bufio"
	"cmp"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"asterwell/internal/hostenv"
	"asterwell/internal/mailbox"
)

// Codec is what frames are on the wire.
type Codec[F any] struct {
	Encode func(F) []byte
	Decode func(*bufio.Reader) (f F, size int, err error) // size: what is counted for it
}

// Errors of a Codec that are counted; after any, the connection ends.
var (
	ErrForeignFrame = errors.New("not a frame of this mesh")
	ErrDamagedFrame = errors.New("a damaged frame")
)

// Options of a mesh.
type Options[F any] struct {
	Host           hostenv.Host // nil: the real one
	Codec          Codec[F]
	Handle         func(p *Conn[F], f F) // on the goroutine of the connection it came by
	MaxInbound     int                   // connections that come in
	ConfigureConn  func(net.Conn)        // nil: as they come
	DialTimeout    time.Duration         // 0: 500 ms
	IdleTimeout    time.Duration         // connections that come in end after it; 0: 30 s
	ReadBufferSize int                   // of a reader; 0: 8 KiB
}

// Mesh is one process's part of it. Answers may go back on the connection that a
// question came on.
type Mesh[F any] struct {
	Options[F]

	mu     sync.Mutex
	out    map[string]*Conn[F]
	in     map[*Conn[F]]bool
	closed bool
	ln     net.Listener

	Counts Counts
}

// Counts are frames since the start.
type Counts struct {
	Sent, Received, BytesOut, BytesIn atomic.Int64
	Dropped                           atomic.Int64 // the queue to a slow peer was full
	Foreign, Damaged, Stale           atomic.Int64 // of another cluster; damaged; for or from an earlier incarnation
}

// All are the counts by name.
func (c *Counts) All() map[string]int64 {
	return map[string]int64{"sent": c.Sent.Load(), "got": c.Received.Load(), "bytes_out": c.BytesOut.Load(), "bytes_in": c.BytesIn.Load(),
		"dropped": c.Dropped.Load(), "strange": c.Foreign.Load(), "spoilt": c.Damaged.Load(), "old": c.Stale.Load()}
}

// Pipe is one connection with its queue.
type Conn[F any] struct {
	m      *Mesh[F]
	addr   string // that it leads to; "": it came in
	box    *mailbox.Box[[]byte]
	queued atomic.Int64
	mu     sync.Mutex
	conn   net.Conn
	ended  bool
}

const (
	mostQueued  = 512 // frames; a peer that takes none costs no more
	writeWithin = 2 * time.Second
	idleFor     = 15 * time.Second
	dialPause   = 60 * time.Millisecond
)

// New returns a mesh without connections.
func New[F any](o Options[F]) *Mesh[F] {
	o.Host, o.DialTimeout, o.IdleTimeout, o.ReadBufferSize = hostenv.OrReal(o.Host), cmp.Or(o.DialTimeout, 500*time.Millisecond), cmp.Or(o.IdleTimeout, 2*idleFor), cmp.Or(o.ReadBufferSize, 8<<10)
	return &Mesh[F]{Options: o, out: map[string]*Conn[F]{}, in: map[*Conn[F]]bool{}}
}

// Listen opens the mesh's port.
func (m *Mesh[F]) Listen(addr string) error {
	ln, err := m.Host.Listen(addr)
	if err != nil {
		return err
	}
	m.ln = ln
	m.Host.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				m.mu.Lock()
				closed := m.closed
				m.mu.Unlock()
				if closed || errors.Is(err, net.ErrClosed) {
					return
				}
				m.Host.Sleep(20 * time.Millisecond) // descriptors may be short for a moment
				continue
			}
			if m.ConfigureConn != nil {
				m.ConfigureConn(c)
			}
			p := &Conn[F]{m: m, box: mailbox.NewBox[[]byte](m.Host), conn: c}
			m.mu.Lock()
			full := m.closed || len(m.in) >= m.MaxInbound
			if !full {
				m.in[p] = true
			}
			m.mu.Unlock()
			if full {
				c.Close()
				continue
			}
			m.Host.Go(func() { p.read(c) })
			m.Host.Go(p.write)
		}
	})
	return nil
}

// Addr is where it listens.
func (m *Mesh[F]) Addr() string { return m.ln.Addr().String() }

// To is the pipe to an address.
func (m *Mesh[F]) ConnTo(addr string) *Conn[F] {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.out[addr]
	if p == nil {
		p = &Conn[F]{m: m, addr: addr, box: mailbox.NewBox[[]byte](m.Host)}
		if m.out[addr] = p; m.closed {
			p.ended = true
			return p
		}
		m.Host.Go(p.write)
	}
	return p
}

// Close ends all of it.
func (m *Mesh[F]) Close() {
	m.mu.Lock()
	m.closed = true
	var all []*Conn[F]
	for _, p := range m.out {
		all = append(all, p)
	}
	for p := range m.in {
		all = append(all, p)
	}
	if m.ln != nil {
		m.ln.Close()
	}
	m.mu.Unlock()
	for _, p := range all {
		p.end()
	}
}

// Send queues a frame. A full queue drops it: what sends here sends again.
func (p *Conn[F]) Send(f F) {
	if p.queued.Load() >= mostQueued {
		p.m.Counts.Dropped.Add(1)
		return
	}
	p.queued.Add(1)
	p.box.Put(p.m.Codec.Encode(f))
}

func (p *Conn[F]) end() {
	p.mu.Lock()
	p.ended = true
	if p.conn != nil {
		p.conn.Close()
	}
	p.mu.Unlock()
	p.box.Put(nil)
}

// write sends what is queued. A pipe out dials as it needs to; what is queued
// meanwhile is lost if it can't.
func (p *Conn[F]) write() {
	defer p.forget()
	var conn net.Conn
	if p.addr == "" {
		conn = p.conn
	}
	for {
		frames := p.box.Take(idleFor)
		if len(frames) == 0 && p.addr != "" {
			return // nobody has anything to say there
		}
		p.queued.Add(-int64(len(frames)))
		p.mu.Lock()
		ended, now := p.ended, p.conn
		p.mu.Unlock()
		if ended {
			return
		}
		if p.addr != "" && (conn == nil || conn != now) {
			var err error
			if conn, err = p.m.Host.Dial(p.addr, p.m.DialTimeout); err != nil {
				conn = nil
				p.m.Host.Sleep(dialPause)
				continue
			}
			if p.m.ConfigureConn != nil {
				p.m.ConfigureConn(conn)
			}
			p.mu.Lock()
			p.conn, ended = conn, p.ended
			p.mu.Unlock()
			if ended {
				conn.Close()
				return
			}
			c := conn
			p.m.Host.Go(func() { p.read(c) })
		}
		var all []byte
		for _, f := range frames {
			all = append(all, f...)
		}
		conn.SetWriteDeadline(p.m.Host.Now().Add(writeWithin))
		if _, err := conn.Write(all); err != nil {
			conn.Close()
			if p.addr == "" {
				return
			}
			conn = nil
			continue
		}
		p.m.Counts.Sent.Add(int64(len(frames)))
		p.m.Counts.BytesOut.Add(int64(len(all)))
	}
}

// forget ends a pipe for good; whoever sends to its address next makes another.
func (p *Conn[F]) forget() {
	p.m.mu.Lock()
	if p.addr != "" && p.m.out[p.addr] == p {
		delete(p.m.out, p.addr)
	}
	delete(p.m.in, p)
	p.m.mu.Unlock()
	p.mu.Lock()
	p.ended = true
	if p.conn != nil {
		p.conn.Close()
	}
	p.mu.Unlock()
}

func (p *Conn[F]) read(c net.Conn) {
	in := bufio.NewReaderSize(c, p.m.ReadBufferSize)
	for {
		if p.addr == "" {
			c.SetReadDeadline(p.m.Host.Now().Add(p.m.IdleTimeout))
		}
		f, size, err := p.m.Codec.Decode(in)
		if err != nil {
			switch {
			case errors.Is(err, ErrForeignFrame):
				p.m.Counts.Foreign.Add(1)
			case errors.Is(err, ErrDamagedFrame):
				p.m.Counts.Damaged.Add(1)
			}
			break
		}
		p.m.Counts.Received.Add(1)
		p.m.Counts.BytesIn.Add(int64(size))
		p.m.Handle(p, f)
	}
	c.Close()
	if p.addr == "" {
		p.end()
		return
	}
	p.mu.Lock()
	if p.conn == c {
		p.conn = nil // the next frame dials anew
	}
	p.mu.Unlock()
}
