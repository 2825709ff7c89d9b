package ops

import (
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/hostenv"
	"asterwell/internal/transport"
)

// Desk is what the management address can do. Its functions must not wait.
type Desk struct {
	Ready func() bool
	Drain func(on bool)
	*Figures
}

const (
	most     = 48              // connections; beyond them those without a whole call make room
	patience = 6 * time.Second // for a whole call
)

// Serve answers at a listener until that is closed: one call a connection.
func (d *Desk) Serve(ln *transport.Listener) error {
	s := transport.NewServer(d.handle, 1<<10)
	s.ReadTimeout, s.DisableKeepalive = patience, true
	return ln.Serve(s)
}

// Listen opens the management address.
func Listen(world hostenv.Host, addr string) (*transport.Listener, error) {
	return transport.Listen(world, addr, most)
}

func (d *Desk) handle(ctx *fasthttp.RequestCtx) {
	method := fasthttp.MethodGet
	var act func()
	switch string(ctx.Path()) {
	case "/ops/readiness":
		act = func() {
			if !d.Ready() {
				ctx.Error("not ready\n", fasthttp.StatusServiceUnavailable)
				return
			}
			ctx.SetBodyString("ready\n")
		}
	case "/ops/stats":
		act = func() {
			ctx.SetContentType("text/plain; version=0.0.4")
			d.Write(ctx)
		}
	case "/ops/drain/start", "/ops/drain/stop":
		method = fasthttp.MethodPost
		act = func() {
			on := string(ctx.Path()) == "/ops/drain/start"
			d.Drain(on)
			ctx.SetBodyString(map[bool]string{true: "draining\n", false: "taking clients\n"}[on])
		}
	default:
		ctx.Error("not found\n", fasthttp.StatusNotFound)
		return
	}
	if string(ctx.Method()) != method {
		ctx.Error("the call is a "+method+"\n", fasthttp.StatusMethodNotAllowed)
		ctx.Response.Header.Set("Allow", method)
		return
	}
	act()
}
