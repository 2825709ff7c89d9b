package transport

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// undelivered reports whether the peer has not acknowledged all that was written to a connection. Closing such a
// connection loses the rest if the peer sends something meanwhile: the socket answers with a reset.
func undelivered(nc net.Conn) bool {
	if c, ok := nc.(interface{ Undelivered() bool }); ok { // simulated connections have no file descriptor
		return c.Undelivered()
	}
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	queued := 0
	err = raw.Control(func(fd uintptr) {
		queued, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) // unknown counts as delivered
	})
	return err == nil && queued > 0
}
