package cluster

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"asterwell/internal/actor"
	"asterwell/internal/seam"
)

// mesh is the members' connections: one out to each address that is sent to, and
// those that come in. Answers go back on the connection that a question came on.
type mesh struct {
	world   seam.Seam
	cluster uint64
	handle  func(p *pipe, f *Frame)
	most    int // connections that come in

	mu     sync.Mutex
	out    map[string]*pipe
	in     map[*pipe]bool
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

// pipe is one connection with its queue.
type pipe struct {
	m      *mesh
	addr   string // that it leads to; "": it came in
	box    *actor.Box[[]byte]
	queued atomic.Int64
	mu     sync.Mutex
	conn   net.Conn
	ended  bool
}

const (
	mostQueued  = 512 // frames; a peer that takes none costs no more
	dialWithin  = 500 * time.Millisecond
	writeWithin = 2 * time.Second
	idleFor     = 15 * time.Second
	dialPause   = 60 * time.Millisecond
)

func newMesh(world seam.Seam, cluster string, most int, handle func(p *pipe, f *Frame)) *mesh {
	return &mesh{world: world, cluster: clusterNumber(cluster), most: most, handle: handle, out: map[string]*pipe{}, in: map[*pipe]bool{}}
}

// listen opens the members' port.
func (m *mesh) listen(addr string) error {
	ln, err := m.world.Listen(addr)
	if err != nil {
		return err
	}
	m.ln = ln
	m.world.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				m.mu.Lock()
				closed := m.closed
				m.mu.Unlock()
				if closed || errors.Is(err, net.ErrClosed) {
					return
				}
				m.world.Sleep(20 * time.Millisecond) // descriptors may be short for a moment
				continue
			}
			p := &pipe{m: m, box: actor.NewBox[[]byte](m.world), conn: c}
			m.mu.Lock()
			full := m.closed || len(m.in) >= m.most
			if !full {
				m.in[p] = true
			}
			m.mu.Unlock()
			if full {
				c.Close()
				continue
			}
			m.world.Go(func() { p.read(c) })
			m.world.Go(p.write)
		}
	})
	return nil
}

// to is the pipe to an address.
func (m *mesh) to(addr string) *pipe {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.out[addr]
	if p == nil {
		p = &pipe{m: m, addr: addr, box: actor.NewBox[[]byte](m.world)}
		if m.out[addr] = p; m.closed {
			p.ended = true
			return p
		}
		m.world.Go(p.write)
	}
	return p
}

// close ends all of it.
func (m *mesh) close() {
	m.mu.Lock()
	m.closed = true
	var all []*pipe
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

// send queues a frame. A full queue drops it: what sends here sends again.
func (p *pipe) send(f *Frame) {
	if p.queued.Load() >= mostQueued {
		p.m.Counts.Dropped.Add(1)
		return
	}
	p.queued.Add(1)
	p.box.Put(f.encode(p.m.cluster))
}

func (p *pipe) end() {
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
func (p *pipe) write() {
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
			if conn, err = p.m.world.Dial(p.addr, dialWithin); err != nil {
				conn = nil
				p.m.world.Sleep(dialPause)
				continue
			}
			p.mu.Lock()
			p.conn, ended = conn, p.ended
			p.mu.Unlock()
			if ended {
				conn.Close()
				return
			}
			c := conn
			p.m.world.Go(func() { p.read(c) })
		}
		var all []byte
		for _, f := range frames {
			all = append(all, f...)
		}
		conn.SetWriteDeadline(p.m.world.Now().Add(writeWithin))
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
func (p *pipe) forget() {
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

func (p *pipe) read(c net.Conn) {
	in := bufio.NewReaderSize(c, 8<<10)
	for {
		if p.addr == "" {
			c.SetReadDeadline(p.m.world.Now().Add(2 * idleFor))
		}
		f, err := readFrame(in, p.m.cluster)
		if err != nil {
			switch {
			case errors.Is(err, errStrange):
				p.m.Counts.Strange.Add(1)
			case errors.Is(err, errSpoilt):
				p.m.Counts.Spoilt.Add(1)
			}
			break
		}
		p.m.Counts.Got.Add(1)
		p.m.Counts.BytesIn.Add(int64(headerSize + 2 + len(f.FromName) + len(f.ToName) + len(f.Body)))
		p.m.handle(p, f)
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
