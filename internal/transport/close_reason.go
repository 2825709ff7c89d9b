package transport

import (
	"fmt"
	"strings"
)

// CloseReason is why a client's connection was closed.
type CloseReason uint8

// The reasons. All but ClosedByClientEarly leave no request without its response.
const (
	ClosedByClient      CloseReason = iota // the client closed it with nothing left to answer
	ClosedByClientEarly                    // the client closed it, or ended its sending, before its last response had been sent
	ClosedIdle                             // no request came for too long
	ClosedByDrain                          // the listener drains, and nothing was left to answer
	ClosedForRoom                          // the limit of connections was near, and nothing was left to answer
	ClosedAfterResponse                    // its last response has been sent
	closeReasons
)

var closeReasonNames = [closeReasons]string{"client", "client_early", "idle", "drain", "room", "response"}

func (r CloseReason) String() string { return closeReasonNames[r] }

// CloseCounts counts closed connections by reason.
type CloseCounts [closeReasons]int64

// String returns the counts that are not 0.
func (c CloseCounts) String() string {
	var texts []string
	for reason, count := range c {
		if count > 0 {
			texts = append(texts, fmt.Sprintf("%v:%d", CloseReason(reason), count))
		}
	}
	return strings.Join(texts, " ")
}

// Closed returns how many connections have been closed, by reason.
func (l *Listener) Closed() CloseCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}
