package daemon

import (
	"time"

	"asterwell/internal/consensus"
)

// How a process leaves: clients are sent here until the platform has seen twice that it
// is not ready. What is still open near the end of the grace gets an answer: a connection
// that just closes could not be told from a lost request.
const (
	staysFor = 2500 * time.Millisecond
	lastCall = 450 * time.Millisecond // before the grace ends
	lastWord = 150 * time.Millisecond
)

// leave is how far a process has come with leaving.
type leave struct {
	called bool
	told   consensus.LeaveUrgency
}

type step int

const (
	stay  step = iota // serve as ever
	empty             // nothing new, and idle connections are closed
	reply             // once: answer all that is open
	quit
)

// departs: near the end of the grace a member's seat is given up, if nobody took it before;
// earlier if nothing is open any more. Until then it counts as one of the core, which it is.
const departs = time.Second

// notice is what the others are to be told now, if anything is new.
func (l *leave) notice(gone, grace time.Duration, idle bool) consensus.LeaveUrgency {
	n := l.told
	switch {
	case gone > grace-departs:
		n = consensus.LeaveForced
	case idle:
		n = max(n, consensus.LeaveWhenSafe)
	}
	if n == l.told {
		return 0
	}
	l.told = n
	return n
}

// ends says whether the process may end, once nothing is open or the grace is near its end:
// when the state stands elsewhere.
func (l *leave) ends(s step, idle, left bool) bool {
	return s == quit || s != stay && idle && left
}

// next is what to do so long after the process was told to go.
func (l *leave) next(gone, grace time.Duration) step {
	switch {
	case gone > grace-lastWord:
		return quit
	case gone > grace-lastCall && !l.called:
		l.called = true
		return reply
	case gone < min(staysFor, grace/2):
		return stay
	}
	return empty
}
