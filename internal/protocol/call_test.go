package protocol

import (
	"testing"

	"github.com/valyala/fasthttp"

	"asterwell/internal/transport"
)

// A response matches a request if it repeats its correlation ID and no other; the case of the
// header's name doesn't matter.
func TestMatches(t *testing.T) {
	d := &Dialect{DeadlineHeader: "X-Left", CorrelationHeader: "X-Name"}
	for _, c := range []struct {
		dialect *Dialect
		mine    string
		answer  []string
		want    bool
	}{
		{d, "a", []string{"X-Name", "a"}, true},
		{d, "a", []string{"x-name", "a"}, true},
		{d, "a", []string{"X-Name", "b"}, false},
		{d, "a", nil, false},
		{d, "a", []string{"X-Name", "a", "x-name", "b"}, false}, // two merged responses
		{d, "a", []string{"X-Name", "b", "x-name", "a"}, false},
		{d, "", nil, true},
		{d, "", []string{"X-Name", "b"}, false},
		{Platform, "a", []string{"X-Name", "b"}, true}, // that dialect has no correlation IDs
	} {
		var ctx fasthttp.RequestCtx
		ctx.Request.Header.SetMethod("GET")
		if c.mine != "" {
			ctx.Request.Header.Set("X-Name", c.mine)
		}
		call, err := c.dialect.NewCall(&ctx, transport.MaxStream, func(_, _ []byte) {})
		if err != nil {
			t.Fatal(err)
		}
		a := &fasthttp.Response{}
		a.Header.DisableNormalizing()
		for i := 0; i < len(c.answer); i += 2 {
			a.Header.Set(c.answer[i], c.answer[i+1])
		}
		if got := call.Matches(a); got != c.want {
			t.Errorf("%q answered with %q: %v", c.mine, c.answer, got)
		}
		if k := call.StartCopy(func(int) bool { return true }).Call(); k.UsedConns() != call.UsedConns() || k.Matches(a) != c.want {
			t.Errorf("%q: its copy has another ID", c.mine)
		}
	}
}
