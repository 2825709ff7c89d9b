package transport

import (
	"net"

	"golang.org/x/sys/unix"
)

// undelivered reports whether the peer has not acknowledged all that was written to a connection. Closing such a
// connection loses the rest if the peer sends something meanwhile: the socket answers with a reset.
func undelivered(nc net.Conn) bool {
	if c, ok := nc.(interface{ Undelivered() bool }); ok { // simulated connections have no file descriptor
		return c.Undelivered()
	}
	queued := 0
	return withDescriptor(nc, func(fd int) {
		queued, _ = unix.IoctlGetInt(fd, unix.SIOCOUTQ) // unknown counts as delivered
	}) && queued > 0
}
