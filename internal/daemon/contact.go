package daemon

import (
	"time"

	"asterwell/internal/consensus"
)

// proving asks for proof of contact with most of the core, as young as the call.
type proving struct{ call uint64 }

// proof is what was kept when most of the core was last heard from; false: this process is
// not in touch, and must promise nothing and refuse nothing for good.
func (p *Process) proof(within time.Duration) (kept uint32, ok bool) {
	a, _ := p.askFor(within, func(call uint64) { p.box.Put(proving{call}) }).(consensus.Answer)
	return a.Version, a.Result == consensus.ResultContact
}

// patience is how long a call waits for proof before something else; with that it still
// ends within the second that callers wait.
const patience = 850 * time.Millisecond

// glance is how long what is only shown waits for it: it is shown all the same, with its age.
const glance = 150 * time.Millisecond

// contactS is how long ago there was contact for certain, in seconds; -1: not in this life.
func (p *Process) contactS() *float64 {
	s := -1.0
	if d, ok := p.knot.LastContact(p.now()); ok {
		s = d.Seconds()
	}
	return &s
}
