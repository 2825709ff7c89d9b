package transport

import "time"

// Timeouts are how long clients may take, in place of the HTTP server's. 0: the server's.
type Timeouts struct {
	Request time.Duration // from the first byte of a request, or from the connect, until its header and the beginning of its body are there
	Idle    time.Duration // between two requests
}

func (t Timeouts) of(a awaitedInput) time.Duration {
	switch a {
	case awaitsRequest:
		return t.Request
	case awaitsNext:
		return t.Idle
	}
	return 0
}

// SetTimeouts replaces the timeouts, also of connections that wait.
func (l *Listener) SetTimeouts(t Timeouts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timeouts == t {
		return
	}
	l.timeouts = t
	for c := range l.conns {
		c.readable.Notify() // a shorter timeout may have passed
	}
}
