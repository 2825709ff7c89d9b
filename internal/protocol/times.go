package protocol

import "sync/atomic"

// Stage is a point on a request's way through a gateway.
type Stage int

// The stages, in the order of the way.
const (
	Begun    Stage = iota // its head has been read
	Routed                // route and tenant are known
	Metered               // its tenant's quota has been asked
	Picked                // a server has been picked
	Written               // the last byte has gone to that server
	Answered              // the answer has been read
	Decided               // it has come back to the client's connection
	Ended                 // it is written there next
	Stages
)

// Times are when a request first came to each stage, by the clock of who measures. A nil one takes nothing down.
type Times struct {
	Clock func() int64 // in nanoseconds, never 0

	at [Stages]atomic.Int64
}

// Mark notes the present time, unless the stage has one.
func (t *Times) Mark(s Stage) {
	if t != nil {
		t.at[s].CompareAndSwap(0, t.Clock())
	}
}

// At are the times; 0: it did not come there.
func (t *Times) At() (at [Stages]int64) {
	for i := range at {
		at[i] = t.at[i].Load()
	}
	return at
}

// MarkWritten marks what the note of an exchange stands for.
func MarkWritten(note any) {
	if c, ok := note.(*Call); ok {
		c.Times.Mark(Written)
	}
}
