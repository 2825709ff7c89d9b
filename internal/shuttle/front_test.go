package shuttle

import (
	"net/http"
	"testing"

	"asterwell/internal/bane"
)

// A gateway that has left for long promises that what still comes has not run: it
// could not wait for its answer.
func TestClosing(t *testing.T) {
	g := newStage(t, bane.Strike{})
	if status, _, _ := g.ask(t, http.DefaultClient, "k10", "before", "x"); status != http.StatusOK {
		t.Fatalf("before: %d", status)
	}
	g.late.Store(true)
	status, _, _ := g.ask(t, http.DefaultClient, "k10", "after", "x")
	if ran, _ := g.toy.of("after"); status != http.StatusServiceUnavailable || ran != 0 {
		t.Errorf("after: %d, ran %d times", status, ran)
	}
}
