package adminclient

import (
	"fmt"
	"net/http"
	"strings"
)

// Refused reports that a gateway rejected the call for good.
type Refused struct {
	At     string
	Status int
	Why    string
}

func (e *Refused) Error() string {
	why := e.Why
	if why == "" {
		why = strings.ToLower(http.StatusText(e.Status))
	}
	return fmt.Sprintf("%s: %d: %s", e.At, e.Status, why)
}

// NoAnswerError reports that no gateway gave a definite answer. If Sent is false, the call was
// certainly not carried out.
type NoAnswerError struct {
	At    []string
	Tries int
	Sent  bool
	Last  error
}

func (e *NoAnswerError) Error() string {
	if len(e.At) == 0 {
		return "no gateway is named: use --at, --from or REED_AT"
	}
	return fmt.Sprintf("no clear answer in %d tries at %s; the last: %v", e.Tries, strings.Join(e.At, ", "), e.Last)
}

func (e *NoAnswerError) Unwrap() error { return e.Last }

// Overtaken reports that another configuration is in force than the one sent. The sent one was
// acknowledged, or it was Refused because another text was accepted under its number.
type Overtaken struct {
	Sent, Held string
	Refused    bool
	Kept       bool // Held is the newest stored version, whether in force or not
}

func (e *Overtaken) Error() string {
	if e.Kept {
		return fmt.Sprintf("%s is kept, above %s: that one, if it has not been live, never will be", e.Held, e.Sent)
	}
	if e.Sent == e.Held {
		return fmt.Sprintf("%s is in force with another text: raise Epoch", e.Held)
	}
	if e.Refused {
		return fmt.Sprintf("%s was accepted with another text, and %s is in force: raise Epoch", e.Sent, e.Held)
	}
	return fmt.Sprintf("%s is in force, not %s", e.Held, e.Sent)
}

// Superseded reports that a set of fault rules was accepted earlier, but has been stopped or
// replaced since.
type Superseded struct{ Sent, Held uint32 }

func (e *Superseded) Error() string {
	if e.Sent == e.Held {
		return fmt.Sprintf("version %d was accepted, and has been stopped since: raise Version to have it again", e.Sent)
	}
	return fmt.Sprintf("version %d was accepted, and version %d has taken its place", e.Sent, e.Held)
}

// OutcomeError reports that a version's rollout ended in another way than requested.
type OutcomeError struct{ Version, How string }

func (e *OutcomeError) Error() string { return e.Version + " is " + e.How }

// UnsettledError reports that a version's rollout did not end before the timeout.
type UnsettledError struct{ Version string }

func (e *UnsettledError) Error() string { return e.Version + " is not settled yet" }

// ReadBackError reports that a change was acknowledged, but its result could not be read.
type ReadBackError struct{ Err error }

func (e *ReadBackError) Error() string { return "acknowledged, but not read back: " + e.Err.Error() }
func (e *ReadBackError) Unwrap() error { return e.Err }
