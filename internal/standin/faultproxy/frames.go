package faultproxy

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"
)

// FrameFault strikes one frame between processes. Of the kinds, AskClose, AskReset and
// AskSilent strike after At bytes of it; Twice brings it twice; Before puts Stale before it.
type FrameFault struct {
	Kind  Kind
	At    int
	Stale []byte // whole frames
}

// frameHead is the length of a frame's length; the byte of its kind is behind that and the version.
const (
	frameHead   = 4
	frameKind   = 5
	frameSilent = 30 * time.Millisecond // then the connection is reset
)

// FrameProxy passes frames on to a process, one way: answers come by the other's own connection.
type FrameProxy struct {
	Addr string
	ln   net.Listener
	mu   sync.Mutex
	to   string
	only byte
	next *FrameFault
	met  bool
	long int
}

// PassFrames starts a proxy on a host. Where it leads is said later: processes need to know
// each other's addresses before they listen.
func PassFrames(host string) (*FrameProxy, error) {
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	p := &FrameProxy{Addr: ln.Addr().String(), ln: ln}
	go accept(ln, p.pass)
	return p, nil
}

// Lead tells where to pass frames on to.
func (p *FrameProxy) Lead(to string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.to = to
}

// Arm sets the fault of the next frame of a kind.
func (p *FrameProxy) Arm(f FrameFault, kind byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next, p.only, p.met = &f, kind, false
}

// Met tells whether it has struck, and how long the frame was.
func (p *FrameProxy) Met() (bool, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.met, p.long
}

// Close takes no more connections.
func (p *FrameProxy) Close() { p.ln.Close() }

func (p *FrameProxy) take(frame []byte) FrameFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next == nil || frame[frameKind] != p.only {
		return FrameFault{}
	}
	f := *p.next
	p.next, p.met, p.long = nil, true, len(frame)
	return f
}

func (p *FrameProxy) pass(near *net.TCPConn) {
	defer near.Close()
	p.mu.Lock()
	to := p.to
	p.mu.Unlock()
	c, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	w := pair{near, c.(*net.TCPConn)}
	defer w.close()
	go func() { // its end is the near side's too
		io.Copy(io.Discard, w.far)
		w.close()
	}()
	for {
		frame := make([]byte, frameHead)
		if _, err := io.ReadFull(near, frame); err != nil {
			return
		}
		frame = append(frame, make([]byte, binary.BigEndian.Uint32(frame))...)
		if _, err := io.ReadFull(near, frame[frameHead:]); err != nil {
			return
		}
		f := p.take(frame)
		switch f.Kind {
		case AskClose, AskReset, AskSilent:
			w.far.Write(frame[:min(f.At, len(frame))])
			if f.Kind == AskSilent {
				time.Sleep(frameSilent)
			}
			if f.Kind != AskClose {
				w.reset()
			}
			return
		case Twice:
			frame = append(frame, frame...)
		case Before:
			frame = append(append([]byte(nil), f.Stale...), frame...)
		}
		if _, err := w.far.Write(frame); err != nil {
			return
		}
	}
}
