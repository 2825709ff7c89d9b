package protocol

import "sync/atomic"

// Stage is a step in the processing of a request by a gateway.
type Stage int

// The stages, in order.
const (
	HeaderRead        Stage = iota // the request header has been read
	Routed                         // route and tenant have been determined
	QuotaChecked                   // the tenant's quota has been checked
	ServerSelected                 // a server has been selected
	RequestSent                    // the last byte has been written to that server
	ResponseRead                   // the response has been read
	ResponseDelivered              // the response has been handed to the client's connection
	ResponseWriting                // the response is about to be written to the client
	StageCount
)

// StageTimes records when a request first reached each stage. A nil *StageTimes records nothing.
type StageTimes struct {
	Clock func() int64 // in nanoseconds, never 0

	times [StageCount]atomic.Int64
}

// Mark records the current time, unless the stage already has one.
func (t *StageTimes) Mark(s Stage) {
	if t != nil {
		t.times[s].CompareAndSwap(0, t.Clock())
	}
}

// At returns the times; 0: the stage was not reached.
func (t *StageTimes) At() (at [StageCount]int64) {
	for i := range at {
		at[i] = t.times[i].Load()
	}
	return at
}

// MarkWritten marks the request of an exchange as sent, given the note of the exchange.
func MarkWritten(note any) {
	if c, ok := note.(*Call); ok {
		c.StageTimes.Mark(RequestSent)
	}
}
