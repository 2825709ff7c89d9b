package bench

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// soakRun is what a soak's clients and servers have seen.
type soakRun struct {
	sent       []sentOne
	uploads    []uploadResult
	arrivals   map[string][]time.Time // at servers, by the request's id
	bodySizes  map[string]int64       // with which uploads ran, by ID
	trouble    []time.Time            // when something unplanned befell any process
	terminated map[string][]time.Time // when a process got SIGTERM, by its name
	limit      soakLimit

	abandoned   []abandoned
	workedUntil map[string]time.Time // by servers, on requests whose clients have left
	releases    []*release
}

// soakLimit is the quota of the tenant whose requests have it.
type soakLimit struct {
	key         string
	rate, burst float64
}

const (
	soakGrace   = 6 * time.Second        // from SIGTERM until a process ends
	soakWindow  = 5 * time.Second        // in which a quota holds
	soakContact = 3 * time.Second        // after an unplanned trouble, in which lost requests are excused
	soakLate    = 700 * time.Millisecond // a final answer may come later than the request's deadline, on a busy machine
)

// check returns what broke, at most a few of each kind.
func (r *soakRun) check() (broken []string) {
	count := map[string]int{}
	note := func(rule, format string, args ...any) {
		if count[rule]++; count[rule] <= 3 {
			broken = append(broken, rule+": "+fmt.Sprintf(format, args...))
		}
	}
	for _, s := range r.sent {
		ran := len(r.arrivals[s.id])
		switch {
		case s.status == -1:
			note("MIXED", "%s got another request's answer from %s", s.id, s.node)
		case ran > 1:
			note("TWICE", "%s ran %d times", s.id, ran)
		case ran > 0 && promisesNotRun(s.status):
			note("REFUSED", "%s got %d from %s and ran", s.id, s.status, s.node)
		case ran > 0 && s.status == 0 && !r.troubled(s):
			note("LOST", "%s ran and %s gave no answer within %v", s.id, s.node, s.took.Round(time.Millisecond))
		case ran > 0 && r.replaced(s) && !r.troubled(s):
			note("LOST", "%s ran and %s gave %d in its server's place after %v", s.id, s.node, s.status, s.took.Round(time.Millisecond))
		case s.status > 0 && s.took > s.deadline+soakLate && !r.troubled(s):
			note("LATE", "%s got %d from %s after %v", s.id, s.status, s.node, s.took.Round(time.Millisecond))
		}
	}
	for _, u := range r.uploads {
		r.checkUpload(u, note)
	}
	r.checkAbandoned(note)
	r.checkReleases(note)
	for id, at := range r.arrivals {
		if strings.HasPrefix(id, leaverID) {
			note("UNASKED", "%s ran %d times, though its client had left in the middle of its body", id, len(at))
		}
	}
	if most, at := r.worstWindow(); float64(most) > r.bound() {
		note("QUOTA", "%d requests of %.0f in 5 s from %v on", most, r.bound(), at.Format("15:04:05.000"))
	}
	return broken
}

// checkUpload checks what became of an upload.
func (r *soakRun) checkUpload(u uploadResult, note func(rule, format string, args ...any)) {
	ran, request := len(r.arrivals[u.id]), sentOne{id: u.id, node: u.node, at: u.at, took: u.took, status: u.status, deadline: uploadDeadline}
	size, whole := r.bodySizes[u.id]
	succeeded := u.status/100 == 2
	switch {
	case succeeded && !u.sealed:
		note("MIXED", "%s got %d without a server's seal from %s; it ran %d times", u.id, u.status, u.node, ran)
	case succeeded && !u.whole:
		note("MIXED", "%s got %d from %s with another body than the server's", u.id, u.status, u.node)
	case succeeded && ran == 0:
		note("MIXED", "%s got %d from %s and did not run", u.id, u.status, u.node)
	case whole && size != int64(u.size):
		note("UNASKED", "%s ran with a body of %d bytes, its client sends %d", u.id, size, u.size)
	case ran > 1:
		note("TWICE", "%s ran %d times", u.id, ran)
	case ran > 0 && promisesNotRun(u.status):
		note("REFUSED", "%s got %d from %s and ran", u.id, u.status, u.node)
	case whole && u.status == 0 && !r.troubled(request):
		note("LOST", "%s ran and %s gave no complete answer within %v: %s", u.id, u.node, u.took.Round(time.Millisecond), u.error)
	case whole && !u.halfClose && r.replaced(request) && !r.troubled(request):
		note("LOST", "%s ran and %s gave %d in its server's place after %v", u.id, u.node, u.status, u.took.Round(time.Millisecond))
	case u.status > 0 && u.took > uploadDeadline+soakLate && !r.troubled(request):
		note("LATE", "%s got %d from %s after %v", u.id, u.status, u.node, u.took.Round(time.Millisecond))
	}
}

// replaced reports whether a process that got SIGTERM answered by itself a request that a server was still to answer, well
// within its deadline and in the first half of the grace period.
func (r *soakRun) replaced(s sentOne) bool {
	if s.status != http.StatusBadGateway && s.status != http.StatusGatewayTimeout || s.took > s.deadline-soakLate {
		return false
	}
	return slices.ContainsFunc(r.terminated[s.node], func(at time.Time) bool {
		end := s.at.Add(s.took)
		return end.After(at) && end.Before(at.Add(soakGrace/2))
	})
}

// promisesNotRun tells of a status that the request has not run, and never will.
func promisesNotRun(status int) bool {
	return slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}

// troubled says that something unplanned happened shortly before a request, or while it lasted.
func (r *soakRun) troubled(s sentOne) bool { return r.troubledWithin(s, soakContact) }

// troubledWithin is troubled for another span before the request.
func (r *soakRun) troubledWithin(s sentOne, before time.Duration) bool {
	return slices.ContainsFunc(r.trouble, func(at time.Time) bool {
		return at.After(s.at.Add(-before)) && at.Before(s.at.Add(s.took+time.Second))
	})
}

func (r *soakRun) bound() float64 {
	return (r.limit.rate*soakWindow.Seconds()+r.limit.burst)*1.1 + 20
}

// worstWindow is the most requests of the limited tenant that were sent within a window, and arrived in it.
func (r *soakRun) worstWindow() (most int, from time.Time) {
	type span struct{ sent, arrived time.Time }
	var all []span
	for _, s := range r.sent {
		if at := r.arrivals[s.id]; s.key == r.limit.key && len(at) > 0 {
			all = append(all, span{s.at, at[0]})
		}
	}
	slices.SortFunc(all, func(a, b span) int { return a.sent.Compare(b.sent) })
	for i := range all {
		n := 0
		for _, s := range all[i:] {
			if s.sent.Sub(all[i].sent) > soakWindow {
				break
			}
			if s.arrived.Sub(all[i].sent) <= soakWindow {
				n++
			}
		}
		if n > most {
			most, from = n, all[i].sent
		}
	}
	return most, from
}
