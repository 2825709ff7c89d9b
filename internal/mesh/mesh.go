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
	Read   func(*bufio.Reader) (f F, size int, err error) // size: what is counted for it
}

// Errors of a Codec that are counted; after any, the connection ends.
var (
	ErrStrange = errors.New("not a frame of this mesh")
	ErrSpoilt  = errors.New("a damaged frame")
)

// Options of a mesh.
type Options[F any] struct {
	World  hostenv.Seam // nil: the real one
	Codec  Codec[F]
	Handle func(p *Pipe[F], f F) // on the goroutine of the connection it came by
	Most   int                   // connections that come in
	Tune   func(net.Conn)        // nil: as they come
	Dial   time.Duration         // 0: 500 ms
	Silent time.Duration         // connections that come in end after it; 0: 30 s
	Buffer int                   // of a reader; 0: 8 KiB
}

// Mesh is one process's part of it. Answers may go back on the connection that a
// question came on.
type Mesh[F any] struct {
	Options[F]

	mu     sync.Mutex
	out    map[string]*Pipe[F]
	in     map[*Pipe[F]]bool
	closed bool
	ln     net.Listener

	Counts Counts
}

// Counts are frames since the start.
type Counts struct {
	Sent, Got, BytesOut, BytesIn atomic.Int64
	Dropped                      atomic.Int64 // the queue to a slow peer was full
	Strange, Spoilt, Old         atomic.Int64 // of another cluster; damaged; for or from an earlier incarnation
}

// All are the counts by name.
func (c *Counts) All() map[string]int64 {
	return map[string]int64{"sent": c.Sent.Load(), "got": c.Got.Load(), "bytes_out": c.BytesOut.Load(), "bytes_in": c.BytesIn.Load(),
		"dropped": c.Dropped.Load(), "strange": c.Strange.Load(), "spoilt": c.Spoilt.Load(), "old": c.Old.Load()}
}

// Pipe is one connection with its queue.
type Pipe[F any] struct {
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
	o.World, o.Dial, o.Silent, o.Buffer = hostenv.Or(o.World), cmp.Or(o.Dial, 500*time.Millisecond), cmp.Or(o.Silent, 2*idleFor), cmp.Or(o.Buffer, 8<<10)
	return &Mesh[F]{Options: o, out: map[string]*Pipe[F]{}, in: map[*Pipe[F]]bool{}}
}

// Listen opens the mesh's port.
func (m *Mesh[F]) Listen(addr string) error {
	ln, err := m.World.Listen(addr)
	if err != nil {
		return err
	}
	m.ln = ln
	m.World.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				m.mu.Lock()
				closed := m.closed
				m.mu.Unlock()
				if closed || errors.Is(err, net.ErrClosed) {
					return
				}
				m.World.Sleep(20 * time.Millisecond) // descriptors may be short for a moment
				continue
			}
			if m.Tune != nil {
				m.Tune(c)
			}
			p := &Pipe[F]{m: m, box: mailbox.NewBox[[]byte](m.World), conn: c}
			m.mu.Lock()
			full := m.closed || len(m.in) >= m.Most
			if !full {
				m.in[p] = true
			}
			m.mu.Unlock()
			if full {
				c.Close()
				continue
			}
			m.World.Go(func() { p.read(c) })
			m.World.Go(p.write)
		}
	})
	return nil
}

// Addr is where it listens.
func (m *Mesh[F]) Addr() string { return m.ln.Addr().String() }

// To is the pipe to an address.
func (m *Mesh[F]) To(addr string) *Pipe[F] {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.out[addr]
	if p == nil {
		p = &Pipe[F]{m: m, addr: addr, box: mailbox.NewBox[[]byte](m.World)}
		if m.out[addr] = p; m.closed {
			p.ended = true
			return p
		}
		m.World.Go(p.write)
	}
	return p
}

// Close ends all of it.
func (m *Mesh[F]) Close() {
	m.mu.Lock()
	m.closed = true
	var all []*Pipe[F]
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
func (p *Pipe[F]) Send(f F) {
	if p.queued.Load() >= mostQueued {
		p.m.Counts.Dropped.Add(1)
		return
	}
	p.queued.Add(1)
	p.box.Put(p.m.Codec.Encode(f))
}

func (p *Pipe[F]) end() {
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
func (p *Pipe[F]) write() {
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
			if conn, err = p.m.World.Dial(p.addr, p.m.Dial); err != nil {
				conn = nil
				p.m.World.Sleep(dialPause)
				continue
			}
			if p.m.Tune != nil {
				p.m.Tune(conn)
			}
			p.mu.Lock()
			p.conn, ended = conn, p.ended
			p.mu.Unlock()
			if ended {
				conn.Close()
				return
			}
			c := conn
			p.m.World.Go(func() { p.read(c) })
		}
		var all []byte
		for _, f := range frames {
			all = append(all, f...)
		}
		conn.SetWriteDeadline(p.m.World.Now().Add(writeWithin))
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
func (p *Pipe[F]) forget() {
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

func (p *Pipe[F]) read(c net.Conn) {
	in := bufio.NewReaderSize(c, p.m.Buffer)
	for {
		if p.addr == "" {
			c.SetReadDeadline(p.m.World.Now().Add(p.m.Silent))
		}
		f, size, err := p.m.Codec.Read(in)
		if err != nil {
			switch {
			case errors.Is(err, ErrStrange):
				p.m.Counts.Strange.Add(1)
			case errors.Is(err, ErrSpoilt):
				p.m.Counts.Spoilt.Add(1)
			}
			break
		}
		p.m.Counts.Got.Add(1)
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
