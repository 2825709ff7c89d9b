package ops

import (
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/hostenv"
	"asterwell/internal/transport"
)

// Server answers calls at the management address. Ready and Drain must not block.
type Server struct {
	Ready func() bool
	Drain func(on bool)
	*Metrics
}

const (
	maxConnections = 48              // beyond it, connections without a complete request are closed to make room
	requestTimeout = 6 * time.Second // until a request has been read in full
)

// Serve answers requests at a listener until it is closed, one request per connection.
func (s *Server) Serve(ln *transport.Listener) error {
	server := transport.NewServer(s.handle, 1<<10)
	server.ReadTimeout, server.DisableKeepalive = requestTimeout, true
	return ln.Serve(server)
}

// Listen opens the management address.
func Listen(world hostenv.Host, addr string) (*transport.Listener, error) {
	return transport.Listen(world, addr, maxConnections)
}

// handle routes a request and checks its method.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	method := fasthttp.MethodGet
	var respond func()
	switch string(ctx.Path()) {
	case "/ops/readiness":
		respond = func() {
			if !s.Ready() {
				ctx.Error("not ready\n", fasthttp.StatusServiceUnavailable)
				return
			}
			ctx.SetBodyString("ready\n")
		}
	case "/ops/stats":
		respond = func() {
			ctx.SetContentType("text/plain; version=0.0.4")
			s.Write(ctx)
		}
	case "/ops/drain/start", "/ops/drain/stop":
		method = fasthttp.MethodPost
		respond = func() {
			on := string(ctx.Path()) == "/ops/drain/start"
			s.Drain(on)
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
	respond()
}
