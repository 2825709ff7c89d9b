// Package health keeps a gateway's statistics of each server from how attempts end
// there: how slow it is, how often it fails, whether it is ejected for a while, and
// whether its whole zone seems to be down. Where a gateway rarely uses a server, the
// figures stay near the mean until there is evidence, and evidence decays with time.
// No I/O, no clock: times are the caller's.
package health

import "time"

const (
	priorWeight        = 2.0              // weight of the mean of all servers, in responses
	maxEvidence        = 18.0             // most responses that count as evidence
	evidenceLife       = 10 * time.Second // time constant in which evidence decays
	slownessLife       = 30 * time.Second // time constant in which slowness decays, so that a slow server is tried again
	maxSlowness        = 5.0              // times the mean: more than that is an outlier
	silentServersLimit = 2                // consecutive failing servers of a zone, after which it is suspected down
	maxDoublings       = 5                // ejections that double the time
)

// Server holds the statistics of one server.
type Server struct {
	Slowness     float64       // its latency relative to the mean of the request class
	FaultRate    float64       // share of faults among its responses
	EjectedUntil time.Duration // 0: not ejected
	Zone         *Zone         // nil: none

	Ejections int // since the last successful response
	evidence  float64
}

// Reset starts anew, for a restarted server.
func (s *Server) Reset() {
	s.Slowness, s.FaultRate, s.EjectedUntil, s.Ejections, s.evidence = 0.5, 0, 0, 0, 0
}

// ObserveSuccess records a successful response and its latency relative to the mean of its class.
func (s *Server) ObserveSuccess(ratio float64) {
	s.evidence = min(s.evidence+1, maxEvidence)
	s.Slowness += (min(ratio, maxSlowness) - s.Slowness) / (priorWeight + s.evidence)
	s.FaultRate -= s.FaultRate / (priorWeight + s.evidence)
	s.EjectedUntil, s.Ejections = 0, 0
}

// ObserveFault records a response that was a fault.
func (s *Server) ObserveFault() {
	s.evidence = min(s.evidence+1, maxEvidence)
	s.FaultRate += (1 - s.FaultRate) / (priorWeight + s.evidence)
}

// Decay lets evidence decay over the elapsed time. meanFaultRate is the share of faults among all responses.
func (s *Server) Decay(elapsed time.Duration, meanFaultRate float64) {
	s.Slowness += (0.5 - s.Slowness) * elapsed.Seconds() / slownessLife.Seconds()
	fraction := min(1, elapsed.Seconds()/evidenceLife.Seconds())
	s.FaultRate += (meanFaultRate - s.FaultRate) * fraction
	s.evidence -= s.evidence * fraction
}

// Eject ejects a server for a time that doubles with each ejection. While it is ejected, Eject has no effect.
func (s *Server) Eject(now, least time.Duration) {
	if now < s.EjectedUntil {
		return
	}
	s.Ejections = min(s.Ejections+1, maxDoublings)
	s.EjectedUntil = now + least<<s.Ejections
}

// Ejected reports whether nothing should be sent to the server, because of itself or its zone.
func (s *Server) Ejected() bool { return s.EjectedUntil > 0 || s.Zone != nil && s.Zone.SuspectedDown }

// ProbeDue reports whether an ejected server should be probed. In a zone that is
// suspected down, only one server is probed in each pause.
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

// Zone holds what is known of all servers of one zone together.
type Zone struct {
	SuspectedDown bool          // several servers in a row did not respond: the rest may be down as well
	NextProbe     time.Duration // next probe while it is suspected down

	silent []*Server // servers without a response since the last one from the zone
}

// Responded records a response from the zone.
func (z *Zone) Responded() { z.SuspectedDown, z.silent = false, z.silent[:0] }

// NoResponse records that a server did not respond, or broke its connection. It
// reports whether that makes the zone suspect. Each server counts once, so that a
// zone with a single server never is.
func (z *Zone) NoResponse(s *Server, now time.Duration) bool {
	for _, x := range z.silent {
		if x == s {
			return false
		}
	}
	z.silent = append(z.silent, s)
	if z.SuspectedDown || len(z.silent) < silentServersLimit {
		return false
	}
	z.SuspectedDown, z.NextProbe = true, now
	return true
}
