// Package mesh manages the connections between processes: one outbound connection to each address that
// frames are sent to, and the inbound ones. Its user defines the frames. Frames to one address keep their
// order; any frame may be lost, and no sender waits for a slow peer.
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

// Codec encodes and decodes frames.
type Codec[F any] struct {
	Encode func(F) []byte
	Decode func(*bufio.Reader) (f F, size int, err error) // size: the bytes to count for it
}

// Errors of a Codec that are counted. The connection ends after any error.
var (
	ErrForeignFrame = errors.New("frame of another mesh")
	ErrDamagedFrame = errors.New("damaged frame")
)

// Options are the settings of a Mesh.
type Options[F any] struct {
	Env            hostenv.Host // nil: the real host
	Codec          Codec[F]
	Handle         func(p *Conn[F], f F) // called on the goroutine of the connection
	MaxInbound     int
	ConfigureConn  func(net.Conn) // nil: none
	DialTimeout    time.Duration  // 0: 500 ms
	IdleTimeout    time.Duration  // for inbound connections; 0: 30 s
	ReadBufferSize int            // of each connection; 0: 8 KiB
}

// Mesh is one process's part of the mesh. Answers may be sent on the connection that the question came on.
type Mesh[F any] struct {
	Options[F]

	mu       sync.Mutex
	outbound map[string]*Conn[F]
	inbound  map[*Conn[F]]bool
	closed   bool
	listener net.Listener

	Counts Counts
}

// Counts are the numbers of frames since the start.
type Counts struct {
	Sent, Received, BytesOut, BytesIn atomic.Int64
	Dropped                           atomic.Int64 // since the queue to a slow peer was full
	Foreign, Damaged, Stale           atomic.Int64 // of another cluster; damaged; for or from an earlier incarnation
}

// All returns the counts by name.
func (c *Counts) All() map[string]int64 {
	return map[string]int64{"sent": c.Sent.Load(), "got": c.Received.Load(), "bytes_out": c.BytesOut.Load(), "bytes_in": c.BytesIn.Load(),
		"dropped": c.Dropped.Load(), "strange": c.Foreign.Load(), "spoilt": c.Damaged.Load(), "old": c.Stale.Load()}
}

// Conn is a connection with its queue of frames to send.
type Conn[F any] struct {
	mesh   *Mesh[F]
	addr   string // address of the peer; "": an inbound connection
	queue  *mailbox.Box[[]byte]
	queued atomic.Int64
	mu     sync.Mutex
	conn   net.Conn
	ended  bool
}

const (
	maxQueuedFrames = 512 // in frames; bounds the memory that a peer which reads nothing takes up
	writeTimeout    = 2 * time.Second
	idleTimeout     = 15 * time.Second
	dialRetryPause  = 60 * time.Millisecond
)

// New returns a mesh without connections.
func New[F any](o Options[F]) *Mesh[F] {
	o.Env, o.DialTimeout, o.IdleTimeout, o.ReadBufferSize = hostenv.OrReal(o.Env), cmp.Or(o.DialTimeout, 500*time.Millisecond),
		cmp.Or(o.IdleTimeout, 2*idleTimeout), cmp.Or(o.ReadBufferSize, 8<<10)
	return &Mesh[F]{Options: o, outbound: map[string]*Conn[F]{}, inbound: map[*Conn[F]]bool{}}
}

// Listen opens the mesh's port, and accepts connections.
func (m *Mesh[F]) Listen(addr string) error {
	listener, err := m.Env.Listen(addr)
	if err != nil {
		return err
	}
	m.listener = listener
	m.Env.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				m.mu.Lock()
				closed := m.closed
				m.mu.Unlock()
				if closed || errors.Is(err, net.ErrClosed) {
					return
				}
				m.Env.Sleep(20 * time.Millisecond) // file descriptors may be used up for a moment
				continue
			}
			if m.ConfigureConn != nil {
				m.ConfigureConn(conn)
			}
			peer := &Conn[F]{mesh: m, queue: mailbox.NewBox[[]byte](m.Env), conn: conn}
			m.mu.Lock()
			full := m.closed || len(m.inbound) >= m.MaxInbound
			if !full {
				m.inbound[peer] = true
			}
			m.mu.Unlock()
			if full {
				conn.Close()
				continue
			}
			m.Env.Go(func() { peer.read(conn) })
			m.Env.Go(peer.write)
		}
	})
	return nil
}

// Addr returns the address of the listener.
func (m *Mesh[F]) Addr() string { return m.listener.Addr().String() }

// ConnTo returns the outbound connection to an address. It is dialled when there are frames to send.
func (m *Mesh[F]) ConnTo(addr string) *Conn[F] {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.outbound[addr]
	if c == nil {
		c = &Conn[F]{mesh: m, addr: addr, queue: mailbox.NewBox[[]byte](m.Env)}
		if m.outbound[addr] = c; m.closed {
			c.ended = true
			return c
		}
		m.Env.Go(c.write)
	}
	return c
}

// Close closes the listener and all connections.
func (m *Mesh[F]) Close() {
	m.mu.Lock()
	m.closed = true
	var conns []*Conn[F]
	for _, c := range m.outbound {
		conns = append(conns, c)
	}
	for c := range m.inbound {
		conns = append(conns, c)
	}
	if m.listener != nil {
		m.listener.Close()
	}
	m.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
}

// Send queues a frame. If the queue is full the frame is dropped: senders repeat what matters.
func (c *Conn[F]) Send(frame F) {
	if c.queued.Load() >= maxQueuedFrames {
		c.mesh.Counts.Dropped.Add(1)
		return
	}
	c.queued.Add(1)
	c.queue.Put(c.mesh.Codec.Encode(frame))
}

func (c *Conn[F]) close() {
	c.mu.Lock()
	c.ended = true
	if c.conn != nil {
		c.conn.Close()
	}
	c.mu.Unlock()
	c.queue.Put(nil)
}

// write sends queued frames. An outbound connection is dialled as needed; the frames queued meanwhile are
// lost if that fails.
func (c *Conn[F]) write() {
	defer c.remove()
	var conn net.Conn
	if c.addr == "" {
		conn = c.conn
	}
	for {
		frames := c.queue.Take(idleTimeout)
		if len(frames) == 0 && c.addr != "" {
			return // idle
		}
		c.queued.Add(-int64(len(frames)))
		c.mu.Lock()
		ended, current := c.ended, c.conn
		c.mu.Unlock()
		if ended {
			return
		}
		if c.addr != "" && (conn == nil || conn != current) {
			var err error
			if conn, err = c.mesh.Env.Dial(c.addr, c.mesh.DialTimeout); err != nil {
				conn = nil
				c.mesh.Env.Sleep(dialRetryPause)
				continue
			}
			if c.mesh.ConfigureConn != nil {
				c.mesh.ConfigureConn(conn)
			}
			c.mu.Lock()
			c.conn, ended = conn, c.ended
			c.mu.Unlock()
			if ended {
				conn.Close()
				return
			}
			conn := conn
			c.mesh.Env.Go(func() { c.read(conn) })
		}
		var batch []byte
		for _, frame := range frames {
			batch = append(batch, frame...)
		}
		conn.SetWriteDeadline(c.mesh.Env.Now().Add(writeTimeout))
		if _, err := conn.Write(batch); err != nil {
			conn.Close()
			if c.addr == "" {
				return
			}
			conn = nil
			continue
		}
		c.mesh.Counts.Sent.Add(int64(len(frames)))
		c.mesh.Counts.BytesOut.Add(int64(len(batch)))
	}
}

// remove ends a connection for good; the next frame to its address opens another.
func (c *Conn[F]) remove() {
	c.mesh.mu.Lock()
	if c.addr != "" && c.mesh.outbound[c.addr] == c {
		delete(c.mesh.outbound, c.addr)
	}
	delete(c.mesh.inbound, c)
	c.mesh.mu.Unlock()
	c.mu.Lock()
	c.ended = true
	if c.conn != nil {
		c.conn.Close()
	}
	c.mu.Unlock()
}

func (c *Conn[F]) read(conn net.Conn) {
	reader := bufio.NewReaderSize(conn, c.mesh.ReadBufferSize)
	for {
		if c.addr == "" {
			conn.SetReadDeadline(c.mesh.Env.Now().Add(c.mesh.IdleTimeout))
		}
		frame, size, err := c.mesh.Codec.Decode(reader)
		if err != nil {
			switch {
			case errors.Is(err, ErrForeignFrame):
				c.mesh.Counts.Foreign.Add(1)
			case errors.Is(err, ErrDamagedFrame):
				c.mesh.Counts.Damaged.Add(1)
			}
			break
		}
		c.mesh.Counts.Received.Add(1)
		c.mesh.Counts.BytesIn.Add(int64(size))
		c.mesh.Handle(c, frame)
	}
	conn.Close()
	if c.addr == "" {
		c.close()
		return
	}
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil // the next frame dials again
	}
	c.mu.Unlock()
}
