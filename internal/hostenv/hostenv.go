// Package hostenv is all that the gateway's parts have of the world: time, goroutines,
// waiting, and connections. Real is a thin shell over the standard library; the
// simulator puts a virtual world in its place, with the same code above it.
package hostenv

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"time"
)

// Host is a world. What runs in one must wait nowhere but in it: at a Notifier, in
// Sleep, or in a connection.
type Host interface {
	Now() time.Time
	Go(f func())
	Sleep(d time.Duration)
	NewNotifier() Notifier
	Dial(addr string, limit time.Duration) (net.Conn, error) // TCP
	Listen(addr string) (net.Listener, error)                // TCP
	ListenUDP() (PacketConn, error)                          // at a free port
	Random() uint64
}

// PacketConn is a UDP socket.
type PacketConn interface {
	ReadFromUDPAddrPort(p []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(p []byte, to netip.AddrPort) (int, error)
	SetDeadline(t time.Time) error
	Close() error
}

// Notifier is what one goroutine waits at and others ring. It remembers one ring.
type Notifier interface {
	Notify()
	// Wait returns true once the bell has been rung, or false after d (below 0:
	// never). Only one goroutine may wait.
	Wait(d time.Duration) bool
}

// Real is the machine.
var Real Host = machine{}

// OrReal is s, or Real if there is none.
func OrReal(s Host) Host {
	if s == nil {
		return Real
	}
	return s
}

type machine struct{}

func (machine) Now() time.Time        { return time.Now() }
func (machine) Go(f func())           { go f() }
func (machine) Sleep(d time.Duration) { time.Sleep(d) }

func (machine) Dial(addr string, limit time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", addr, limit)
}

func (machine) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

func (machine) ListenUDP() (PacketConn, error) { return net.ListenUDP("udp", nil) }

func (machine) Random() uint64 { return rand.Uint64() }

func (machine) NewNotifier() Notifier { return &bell{rung: make(chan struct{}, 1)} }

type bell struct {
	rung  chan struct{}
	timer *time.Timer
}

func (b *bell) Notify() {
	select {
	case b.rung <- struct{}{}:
	default:
	}
}

func (b *bell) Wait(d time.Duration) bool {
	select {
	case <-b.rung:
		return true
	default:
	}
	switch {
	case d < 0:
		<-b.rung
		return true
	case d == 0:
		return false
	case b.timer == nil:
		b.timer = time.NewTimer(d)
	default:
		b.timer.Reset(d)
	}
	defer b.timer.Stop()
	select {
	case <-b.rung:
		return true
	case <-b.timer.C:
		return false
	}
}
