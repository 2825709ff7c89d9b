package transport

import (
	"net"

	"golang.org/x/sys/unix"
)

// remoteClosed reports whether the peer has closed a connection, or ended its sending, though bytes that it sent before
// have not been read yet.
func remoteClosed(nc net.Conn) bool {
	if c, ok := nc.(interface{ RemoteClosed() bool }); ok { // simulated connections have no file descriptor
		return c.RemoteClosed()
	}
	closed := false
	return withDescriptor(nc, func(fd int) {
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(events, 0)
		closed = err == nil && n > 0 && events[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	}) && closed
}
