package protocol

import (
	"testing"

	"github.com/valyala/fasthttp"

	"asterwell/internal/routing"
)

// A request whose body took too long has its answer; what the core says a moment later
// must not take its place while it is read.
func TestOneFinal(t *testing.T) {
	a := &ReplyWaiter{completed: true, abandoned: true, result: Result{Kind: TimedOut}}
	a.Refused(0, routing.NotExecuted)
	if a.result.Kind != TimedOut {
		t.Errorf("the answer turned into %v", a.result.Kind)
	}
}

// failing is a core that fails what it is given.
type failing struct{}

func (failing) Submit(r *routing.Request)     { r.Reply.Failed(false) }
func (failing) BodyProgress(*routing.Request) {}
func (failing) ClientGone(*routing.Request)   {}

// Of two requests with one id at a time the second is told so; those without an id are nobody's twins.
func TestTwins(t *testing.T) {
	ids := NewOpenIDs()
	for id, want := range map[string]Kind{"a": DuplicateID, "b": Failed, "": Failed} {
		ids.open = map[string]bool{"a": true, "": true}
		if f := Await(&fasthttp.RequestCtx{}, failing{}, ids, id, &routing.Request{Reply: &ReplyWaiter{}}); f.Kind != want {
			t.Errorf("%q: kind %d, want %d", id, f.Kind, want)
		}
	}
}
