// Package hostenv abstracts the environment of the gateway's packages: time, goroutines,
// waiting, and connections. Real is a thin layer over the standard library; the
// simulator substitutes a virtual host and runs the same code on top of it.
package hostenv

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"time"
)

// Host is an environment. Code that runs on one may block only through it: in
// Notifier.Wait, in Sleep, or in a connection.
type Host interface {
	Now() time.Time
	Go(f func())
	Sleep(d time.Duration)
	NewNotifier() Notifier
	Dial(addr string, limit time.Duration) (net.Conn, error) // TCP
	Listen(addr string) (net.Listener, error)                // TCP
	ListenUDP() (PacketConn, error)                          // on a free port
	Random() uint64
}

// PacketConn is a UDP socket.
type PacketConn interface {
	ReadFromUDPAddrPort(p []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(p []byte, to netip.AddrPort) (int, error)
	SetDeadline(t time.Time) error
	Close() error
}

// Notifier wakes a single waiting goroutine. It remembers at most one notification.
type Notifier interface {
	Notify()
	// Wait returns true once Notify has been called, or false after d (negative:
	// no timeout). Only one goroutine may wait.
	Wait(d time.Duration) bool
}

// Real is the operating system.
var Real Host = machine{}

// OrReal returns h, or Real if h is nil.
func OrReal(h Host) Host {
	if h == nil {
		return Real
	}
	return h
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

func (machine) NewNotifier() Notifier { return &notifier{pending: make(chan struct{}, 1)} }

type notifier struct {
	pending chan struct{}
	timer   *time.Timer
}

func (b *notifier) Notify() {
	select {
	case b.pending <- struct{}{}:
	default:
	}
}

func (b *notifier) Wait(d time.Duration) bool {
	select {
	case <-b.pending:
		return true
	default:
	}
	switch {
	case d < 0:
		<-b.pending
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
	case <-b.pending:
		return true
	case <-b.timer.C:
		return false
	}
}
