package dataplane

import (
	"io"
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp"

	"asterwell/choice"
	"asterwell/internal/faultrules"
	"asterwell/internal/routing"
)

type closeRecorder struct{ closed atomic.Bool }

func (c *closeRecorder) Read([]byte) (int, error) { return 0, io.EOF }
func (c *closeRecorder) Close() error             { c.closed.Store(true); return nil }

// TestLateStreamIsClosed: a response stream that arrives after its request was answered is closed. No one
// else would read it, and its connection would stay open for good.
func TestLateStreamIsClosed(t *testing.T) {
	g := newTestGateway(t, faultrules.Strike{})
	l, stream := (*g.plane.lanes.Load())["toy"], &closeRecorder{}
	resp := fasthttp.AcquireResponse()
	resp.SetBodyStream(stream, -1)
	l.core.AttemptEnded(1, routing.Attempt{ID: 99}, choice.OK, resp, nil)
	l.core.Stats() // returns after the core has handled the call above
	if !stream.closed.Load() {
		t.Error("a late stream stays open")
	}
}
