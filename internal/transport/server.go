package transport

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Client timeouts. A request must arrive completely within requestTimeout, counted from
// its first byte, or from the connect for the first request. A connection without a
// request is closed after idleTimeout.
const (
	requestTimeout = 3 * time.Second // for a streamed body, between two reads
	idleTimeout    = 2 * time.Second
	writeTimeout   = 5 * time.Second // for each piece of a response, once the request's deadline is over
)

// NewServer returns an HTTP server for a listener. It keeps header names and request
// data unchanged, and accepts bodies up to maxBody bytes.
func NewServer(handler fasthttp.RequestHandler, maxBody int) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                       rejectAmbiguous(handler),
		ErrorHandler:                  malformed,
		Logger:                        discardLogger{},
		MaxRequestBodySize:            maxBody,
		ReadBufferSize:                8192,
		StreamRequestBody:             maxBody >= MaxStream,
		ReadTimeout:                   requestTimeout,
		IdleTimeout:                   idleTimeout,
		WriteTimeout:                  writeTimeout,
		DisableHeaderNamesNormalizing: true,
		DisablePreParseMultipartForm:  true,
		NoDefaultServerHeader:         true,
		NoDefaultContentType:          true,
		ConnState:                     connStateChanged,
	}
}

// rejectAmbiguous rejects requests that another recipient could parse differently, and
// marks that the handler runs.
func rejectAmbiguous(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if conn, ok := ctx.Conn().(*ClientConn); ok {
			conn.served()
			sendAtOnce(ctx)
		}
		if HasConflictingLengths(ctx.Request.Header.RawHeaders()) {
			ctx.Error("Content-Length and Transfer-Encoding\n", fasthttp.StatusBadRequest)
			ctx.SetConnectionClose()
			return
		}
		handler(ctx)
	}
}

// sendAtOnce makes the library send the response once it is written. It would keep it back until the next request that
// the client has already sent is answered; a write deadline of the handler's makes it flush.
func sendAtOnce(ctx *fasthttp.RequestCtx) {
	ctx.SetWriteDeadline(time.Time{}) // ignored by ClientConn
}

// connStateChanged receives the library's view of a connection: active once the first byte of a request is there,
// idle once the response has been written.
func connStateChanged(nc net.Conn, s fasthttp.ConnState) {
	c, ok := nc.(*ClientConn)
	if !ok {
		return
	}
	switch s {
	case fasthttp.StateActive:
		c.begun()
	case fasthttp.StateIdle:
		c.answered()
	}
}

// malformed answers an invalid request. The connection is closed after that.
func malformed(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	var network net.Error // the library wraps those of an incomplete header
	switch {
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &network) && network.Timeout():
		status = fasthttp.StatusRequestTimeout
	}
	ctx.Error(fasthttp.StatusMessage(status)+"\n", status)
}

// discardLogger drops the library's log, which reports each client that disconnects.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
