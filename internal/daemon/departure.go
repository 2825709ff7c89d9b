package daemon

import (
	"time"

	"asterwell/internal/consensus"
)

// How a process leaves: it goes on serving until the platform has seen twice that it isn't ready. Requests
// that are still open near the end of the grace period get an answer, since clients couldn't tell a
// connection that just closes from a lost request.
const (
	minServeTime    = 2500 * time.Millisecond
	answerAllBefore = 450 * time.Millisecond // before the grace period ends
	quitBefore      = 150 * time.Millisecond
)

// departure tracks how far a process has come with leaving.
type departure struct {
	answered bool
	noticed  consensus.LeaveUrgency
}

type departureStep int

const (
	keepServing departureStep = iota // serve as usual
	drainConns                       // accept no new requests, and close idle connections
	answerAll                        // once: answer all open requests
	endNow
)

// exitNoticeBefore is how long before the end of the grace period a core member gives up its place, if it
// wasn't replaced before; it does so earlier once no request is open. Until then it counts as a member of
// the core.
const exitNoticeBefore = time.Second

// notice returns what the other processes are to be told now; 0: nothing new.
func (d *departure) notice(elapsed, grace time.Duration, idle bool) consensus.LeaveUrgency {
	urgency := d.noticed
	switch {
	case elapsed > grace-exitNoticeBefore:
		urgency = consensus.LeaveForced
	case idle:
		urgency = max(urgency, consensus.LeaveWhenSafe)
	}
	if urgency == d.noticed {
		return 0
	}
	d.noticed = urgency
	return urgency
}

// ends reports whether the process may end: it is idle and the others can do without it, or the grace
// period is nearly over.
func (d *departure) ends(step departureStep, idle, replaceable bool) bool {
	return step == endNow || step != keepServing && idle && replaceable
}

// next returns the step at a time after the process was told to end.
func (d *departure) next(elapsed, grace time.Duration) departureStep {
	switch {
	case elapsed > grace-answerAllBefore && !d.answered: // also if the process stood still until the end
		d.answered = true
		return answerAll
	case elapsed > grace-quitBefore:
		return endNow
	case elapsed < min(minServeTime, grace/2):
		return keepServing
	}
	return drainConns
}
