package adminclient

import (
	"fmt"
	"net/http"
	"strings"
)

// Refused is a gateway's final no.
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

// Nobody tells that no gateway gave a clear answer. Unless one was Sent the call, it
// has certainly not been carried out.
type Nobody struct {
	At    []string
	Tries int
	Sent  bool
	Last  error
}

func (e *Nobody) Error() string {
	if len(e.At) == 0 {
		return "no gateway is named: use --at, --from or REED_AT"
	}
	return fmt.Sprintf("no clear answer in %d tries at %s; the last: %v", e.Tries, strings.Join(e.At, ", "), e.Last)
}

func (e *Nobody) Unwrap() error { return e.Last }

// Overtaken tells that another configuration is in force than the one sent. That was
// acknowledged, or Refused as its number has another text.
type Overtaken struct {
	Sent, Held string
	Refused    bool
	Kept       bool // Held is the newest that is kept, whether in force or not
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

// Superseded tells that a set of fault rules was accepted before, and has been stopped or
// replaced since.
type Superseded struct{ Sent, Held uint32 }

func (e *Superseded) Error() string {
	if e.Sent == e.Held {
		return fmt.Sprintf("version %d was accepted, and has been stopped since: raise Version to have it again", e.Sent)
	}
	return fmt.Sprintf("version %d was accepted, and version %d has taken its place", e.Sent, e.Held)
}

// Otherwise tells that a version's rollout has ended in another way than was wanted.
type Otherwise struct{ Version, How string }

func (e *Otherwise) Error() string { return e.Version + " is " + e.How }

// Unsettled tells that a version's rollout had not ended when the time was over.
type Unsettled struct{ Version string }

func (e *Unsettled) Error() string { return e.Version + " is not settled yet" }

// Unread tells that a configuration was acknowledged, and then could not be read back.
type Unread struct{ Err error }

func (e *Unread) Error() string { return "acknowledged, but not read back: " + e.Err.Error() }
func (e *Unread) Unwrap() error { return e.Err }
