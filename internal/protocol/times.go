package protocol

import "sync/atomic"

// Stage is a point on a request's way through a gateway.
type Stage int

// The stages, in the order of the way.
const (
	HeaderRead        Stage = iota // its head has been read
	Routed                         // route and tenant are known
	QuotaChecked                   // its tenant's quota has been asked
	ServerSelected                 // a server has been picked
	RequestSent                    // the last byte has gone to that server
	ResponseRead                   // the answer has been read
	ResponseDelivered              // it has come back to the client's connection
	ResponseWriting                // it is written there next
	StageCount
)

// Times are when a request first came to each stage, by the clock of who measures. A nil one takes nothing down.
type StageTimes struct {
	Clock func() int64 // in nanoseconds, never 0

	times [StageCount]atomic.Int64
}

// Mark notes the present time, unless the stage has one.
func (t *StageTimes) Mark(s Stage) {
	if t != nil {
		t.times[s].CompareAndSwap(0, t.Clock())
	}
}

// At are the times; 0: it did not come there.
func (t *StageTimes) At() (at [StageCount]int64) {
	for i := range at {
		at[i] = t.times[i].Load()
	}
	return at
}

// MarkWritten marks what the note of an exchange stands for.
func MarkWritten(note any) {
	if c, ok := note.(*Call); ok {
		c.StageTimes.Mark(RequestSent)
	}
}
