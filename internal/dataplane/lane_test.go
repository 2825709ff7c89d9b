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

type closable struct{ closed atomic.Bool }

func (c *closable) Read([]byte) (int, error) { return 0, io.EOF }
func (c *closable) Close() error             { c.closed.Store(true); return nil }

// A stream that comes when its request has been answered is given up: nobody else would ever
// read it, and its connection would stay open for good.
func TestLateStream(t *testing.T) {
	g := newStage(t, faultrules.Strike{})
	l, late := (*g.plane.lanes.Load())["toy"], &closable{}
	resp := fasthttp.AcquireResponse()
	resp.SetBodyStream(late, -1)
	l.core.AttemptEnded(1, routing.Attempt{ID: 99}, choice.OK, resp, nil)
	l.core.Stats() // waits for its turn
	if !late.closed.Load() {
		t.Error("a late stream stays open")
	}
}
