package transport

import (
	"net"
	"syscall"
)

// withDescriptor calls f with the file descriptor of a connection. It returns false if the connection has none, or no longer.
func withDescriptor(nc net.Conn, f func(fd int)) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}
