package daemon

import (
	"time"

	"asterwell/internal/consensus"
)

// contactCall asks for a proof of contact with a majority of the core that is no older than the call.
type contactCall struct{ call uint64 }

// proveContact returns the version of the configuration that the core held at the time of the proof. If ok
// is false this process has no contact, and must neither promise anything nor refuse anything for good.
func (p *Process) proveContact(within time.Duration) (version uint32, ok bool) {
	a, _ := p.callWithin(within, func(call uint64) { p.inbox.Put(contactCall{call}) }).(consensus.Answer)
	return a.Version, a.Result == consensus.ResultContact
}

// proofTimeout bounds the wait for a proof before another step, so that the call still ends within the
// second that callers wait.
const proofTimeout = 850 * time.Millisecond

// displayProofTimeout bounds the wait before a read-only answer, which is given in any case, with the age
// of the last contact.
const displayProofTimeout = 150 * time.Millisecond

// contactSeconds returns the seconds since the last proven contact; -1: none since the start.
func (p *Process) contactSeconds() *float64 {
	s := -1.0
	if d, ok := p.machine.LastContact(p.now()); ok {
		s = d.Seconds()
	}
	return &s
}
