package transport

import "time"

// firstRequestGrace is how long a drain leaves a new connection for its first request to arrive.
const firstRequestGrace = 200 * time.Millisecond

// connPhase is what a client's connection is doing.
type connPhase uint8

const (
	phaseConnected connPhase = iota // the client has not sent anything yet
	phaseReceiving                  // a request has begun to arrive
	phaseServing                    // the handler runs, or its response is being sent
	phaseAnswered                   // a response has been sent; the HTTP library may hold bytes of a further request
	phaseIdle                       // every request has been answered, and nothing of a further one has arrived
	phaseClosed                     // no request is read from it any more; it may linger
)

// connState decides whether a client's connection has anything left to answer. Bytes from a client are in one of
// three places: with the pump, which reads them, in the HTTP library's buffer, or in a request that is being served.
// Only the library knows its buffer, so a connection becomes idle when the library asks for more bytes and there
// are none, and not when a response has been sent. It has no I/O.
type connState struct {
	phase   connPhase
	since   time.Time // when the phase began
	waiting bool      // the library has asked for bytes, and none have come since
}

func (s *connState) enter(phase connPhase, now time.Time) { s.phase, s.since = phase, now }

// received records that the pump has read bytes. It returns false if nobody will take them.
func (s *connState) received(now time.Time) bool {
	switch s.phase {
	case phaseClosed:
		return false
	case phaseConnected, phaseIdle:
		s.enter(phaseReceiving, now)
	}
	s.waiting = false
	return true
}

// starved records that the library asks for bytes and the pump has none. It returns true if the connection becomes
// idle by it: after a response the library asks once its buffer is empty.
func (s *connState) starved(now time.Time) bool {
	s.waiting = true
	if s.phase != phaseAnswered {
		return false
	}
	s.enter(phaseIdle, now)
	return true
}

// begun records that the library has found the first byte of a request.
func (s *connState) begun(now time.Time) {
	if s.phase == phaseAnswered {
		s.enter(phaseReceiving, now)
	}
}

// served records that the handler runs.
func (s *connState) served(now time.Time) {
	if s.phase != phaseClosed {
		s.enter(phaseServing, now)
	}
}

// answered records that the response has been sent.
func (s *connState) answered(now time.Time) {
	if s.phase != phaseClosed {
		s.enter(phaseAnswered, now)
	}
}

// nothingOwed reports whether the connection may be closed without breaking off a request or a response: no byte of an
// unanswered request has arrived.
func (s *connState) nothingOwed() bool { return s.phase == phaseConnected || s.phase == phaseIdle }

// drainable reports whether a drain may close the connection. The first request of a client that has just connected is
// probably on its way.
func (s *connState) drainable(now time.Time) bool {
	return s.phase == phaseIdle || s.phase == phaseConnected && now.Sub(s.since) > firstRequestGrace
}

// awaitedInput is what a client is given time for.
type awaitedInput uint8

const (
	awaitsNothing awaitedInput = iota
	awaitsRequest              // the request that has begun, or the first one
	awaitsNext                 // the next request to begin
)

// awaits returns what the library sets a deadline for.
func (s *connState) awaits() awaitedInput {
	if s.phase == phaseAnswered || s.phase == phaseIdle {
		return awaitsNext
	}
	return awaitsRequest
}

// Ranks of connections, the most expendable first.
const (
	rankAnswered   int = iota // its last response has been sent and the grace period is over
	rankSilent                // it has never sent anything
	rankIncomplete            // its request stays incomplete
	rankIdle                  // it has been served and may send another request
	rankNew                   // it has just connected
	rankProtected
)

// expendable ranks a connection that could be closed to make room for others.
func (s *connState) expendable(now time.Time) int {
	graceOver := now.Sub(s.since) > pressureGrace
	switch {
	case s.phase == phaseIdle:
		return rankIdle
	case s.phase == phaseConnected && !graceOver:
		return rankNew
	case s.phase == phaseConnected:
		return rankSilent
	case s.phase == phaseClosed && graceOver:
		return rankAnswered
	case s.phase == phaseReceiving && graceOver && s.waiting: // otherwise its request may be complete
		return rankIncomplete
	}
	return rankProtected
}
