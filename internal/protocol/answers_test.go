package protocol

import (
	"testing"

	"asterwell/internal/routing"
)

// A request whose body took too long has its answer; what the core says a moment later
// must not take its place while it is read.
func TestOneFinal(t *testing.T) {
	a := &Answers{have: true, left: true, final: Final{Kind: TimedOut}}
	a.Refused(0, routing.Unrun)
	if a.final.Kind != TimedOut {
		t.Errorf("the answer turned into %v", a.final.Kind)
	}
}
