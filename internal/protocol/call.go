// Package protocol speaks the platform's protocol: the front that clients come
// through, the exchange with servers and what its ends mean, discovery, and the
// counter.
package protocol

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/transport"
)

// Call is a client's request as it is passed on: method, path, query, body and
// headers as they came.
type Call struct {
	head        []byte // the request line and the headers that pass
	body        []byte
	rest        *upload // what follows it; nil: nothing
	err         error   // the body did not come
	Transparent bool    // any whole answer but a fault of the server is the client's
}

// The names of headers on the platform.
const (
	headerID      = "X-Request-ID"
	headerClass   = "X-Priority-Class"
	headerPlan    = "X-Tier"
	headerTimeout = "X-Timeout"
	headerTerms   = "X-Call-Terms"
	headerRetried = "X-Retried"
	headerNotRun  = "X-Not-Processed"
	headerLoad    = "X-Server-Load"
)

// hop tells the headers that end at this gateway: those of the connection, and
// those that are written anew.
func hop(key []byte) bool {
	switch len(key) {
	case 2:
		return is(key, "TE")
	case 6:
		return is(key, "Expect")
	case 7:
		return is(key, "Trailer") || is(key, "Upgrade")
	case 9:
		return is(key, headerTimeout)
	case 10:
		return is(key, "Connection") || is(key, "Keep-Alive")
	case 14:
		return is(key, "Content-Length")
	case 16:
		return is(key, "Proxy-Connection")
	case 17:
		return is(key, "Transfer-Encoding")
	}
	return false
}

func is(key []byte, name string) bool {
	return len(key) == len(name) && (string(key) == name || bytes.EqualFold(key, []byte(name)))
}

// NewCall copies a request, since its memory is used again. see is shown each header.
func NewCall(ctx *fasthttp.RequestCtx, see func(key, value []byte)) *Call {
	h := &ctx.Request.Header
	c := &Call{head: make([]byte, 0, 512)}
	c.head = append(c.head, h.Method()...)
	c.head = append(c.head, ' ')
	c.head = append(c.head, h.RequestURI()...)
	c.head = append(c.head, " HTTP/1.1\r\n"...)
	for key, value := range h.All() {
		see(key, value)
		if !hop(key) {
			c.head = append(append(append(append(c.head, key...), ": "...), value...), '\r', '\n')
		}
	}
	var length int
	c.body, c.rest, length, c.err = take(ctx)
	switch {
	case c.rest != nil && length < 0:
		c.head = append(c.head, "Transfer-Encoding: chunked\r\n"...)
		c.body = append(append(append(strconv.AppendInt(nil, int64(len(c.body)), 16), '\r', '\n'), c.body...), '\r', '\n')
	case length > 0 || !h.IsGet() && !h.IsHead():
		c.head = append(c.head, "Content-Length: "...)
		c.head = append(strconv.AppendInt(c.head, int64(length), 10), '\r', '\n')
	}
	return c
}

// Upload is what follows the beginning that wire returns. Only the first who asks gets it.
func (c *Call) Upload() transport.Upload {
	switch {
	case c.rest == nil:
		return nil
	case c.rest.begun.Swap(true):
		return claimed{}
	}
	return c.rest
}

// spent tells that the request can't be sent again.
func (c *Call) spent() bool { return c.rest != nil && c.rest.begun.Load() }

// AddHeader sets a header that the client did not send.
func (c *Call) AddHeader(key, value string) {
	c.head = append(append(append(append(c.head, key...), ": "...), value...), '\r', '\n')
}

// wire is the request as one attempt sends it, with the time it has left.
func (c *Call) wire(left time.Duration) []byte {
	if c.rest != nil {
		left = c.rest.limit
	}
	w := make([]byte, 0, len(c.head)+len(c.body)+len(headerTimeout)+20)
	w = append(w, c.head...)
	w = append(w, headerTimeout+": "...)
	w = strconv.AppendFloat(w, max(left, time.Millisecond).Seconds(), 'f', 3, 64)
	w = append(w, "\r\n\r\n"...)
	return append(w, c.body...)
}
