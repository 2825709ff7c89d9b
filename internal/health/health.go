// Package health is what a gateway believes of each server from how attempts
// end there: how slow it is, how often it fails, whether it is left out for a
// while, and whether its whole zone looks lost. A gateway that meets a server
// seldom has little to go by: figures lean on the mean until there is evidence,
// and evidence ages by time. No I/O, no clock: times are the caller's.
package health

import "time"

const (
	doubt     = 2.0              // answers that the mean counts for, against those of the server itself
	most      = 18.0             // answers that its own figures rest on at most
	memory    = 10 * time.Second // evidence fades within it
	forgive   = 30 * time.Second // a slow server is tried anew within it
	mostSlow  = 5.0              // times the mean: more than that is chance
	lostAfter = 2                // servers of a zone failing in a row: the zone may be lost
	mostTimes = 5                // strikes that lengthen the time out
)

// Server is what is believed of one.
type Server struct {
	Slowness     float64       // time of its answers against the mean of their kind
	FaultRate    float64       // share of faults among its answers
	EjectedUntil time.Duration // left out until then; 0: it is not
	Zone         *Zone         // nil: it has none

	Ejections int // in a row, without a good answer
	seen      float64
}

// Restart forgets what an earlier process did.
func (s *Server) Reset() {
	s.Slowness, s.FaultRate, s.EjectedUntil, s.Ejections, s.seen = 0.5, 0, 0, 0, 0
}

// Took tells that an answer took so many times the mean of its kind.
func (s *Server) ObserveSuccess(times float64) {
	s.seen = min(s.seen+1, most)
	s.Slowness += (min(times, mostSlow) - s.Slowness) / (doubt + s.seen)
	s.FaultRate -= s.FaultRate / (doubt + s.seen)
	s.EjectedUntil, s.Ejections = 0, 0
}

// Failed tells of an answer that was a fault.
func (s *Server) ObserveFault() {
	s.seen = min(s.seen+1, most)
	s.FaultRate += (1 - s.FaultRate) / (doubt + s.seen)
}

// Age lets evidence fade over a time. usual is the share of faults among all answers.
func (s *Server) Decay(past time.Duration, usual float64) {
	s.Slowness += (0.5 - s.Slowness) * past.Seconds() / forgive.Seconds()
	part := min(1, past.Seconds()/memory.Seconds())
	s.FaultRate += (usual - s.FaultRate) * part
	s.seen -= s.seen * part
}

// Strike leaves a server out for a time that doubles with each strike; not again while it is out.
func (s *Server) Eject(now, least time.Duration) {
	if now < s.EjectedUntil {
		return
	}
	s.Ejections = min(s.Ejections+1, mostTimes)
	s.EjectedUntil = now + least<<s.Ejections
}

// Out reports whether nothing should be sent there, for its own sake or its zone's.
func (s *Server) Ejected() bool { return s.EjectedUntil > 0 || s.Zone != nil && s.Zone.SuspectedDown }

// Due reports whether to look if a server is back that was left out. Of a lost
// zone it is one server after another, each time after a pause.
func (s *Server) ProbeDue(now, pause time.Duration) bool {
	if z := s.Zone; z != nil && z.SuspectedDown {
		due := now >= z.NextProbe
		if due {
			z.NextProbe = now + pause
		}
		return due
	}
	return s.EjectedUntil > 0 && now >= s.EjectedUntil
}

// Zone is what is believed of all servers of one zone together.
type Zone struct {
	SuspectedDown bool          // several servers in a row did not answer: the others may be gone with them
	NextProbe     time.Duration // while it is lost, whether it is back is looked at next then

	silent []*Server // since the last sign of life
}

// Alive tells of an answer from the zone.
func (z *Zone) Responded() { z.SuspectedDown, z.silent = false, z.silent[:0] }

// Silent tells that a server did not answer, or broke its connection. It
// reports whether the zone has come to look lost by that. One server in a row
// counts once, and a zone's only server is no zone.
func (z *Zone) NoResponse(s *Server, now time.Duration) bool {
	for _, x := range z.silent {
		if x == s {
			return false
		}
	}
	z.silent = append(z.silent, s)
	if z.SuspectedDown || len(z.silent) < lostAfter {
		return false
	}
	z.SuspectedDown, z.NextProbe = true, now
	return true
}
