// Package protocol speaks the platform's protocol: the front that clients come
// through, the exchange with servers and what its ends mean, discovery, and the
// counter.
package protocol

import (
	"bytes"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/routing"
	"asterwell/internal/transport"
)

// Call is a client's request as it is passed on: method, path, query, body and
// headers as they came.
type Call struct {
	head        []byte // the request line and the headers that pass
	body        []byte
	upload      *bodyUpload    // what follows it; nil: nothing
	err         error          // the body did not come
	correlation *correlationID // that its answer repeats; nil: the dialect has none
	Transparent bool           // any whole answer but a fault of the server is the client's
	Final       bool           // that too: no other server may be asked
	StageTimes  *StageTimes    // nil: nobody measures
}

// Dialect is what a deployment's servers say in headers.
type Dialect struct {
	DeadlineHeader       string   // the time that a request has left
	DeadlineInMillis     bool     // it is in milliseconds, else in seconds
	NotExecutedHeader    string   // in an answer: the request has not run
	NotExecutedAnyStatus bool     // whatever the answer's status; else with 503 and 504
	CorrelationHeader    string   // an answer repeats the request's; one with another, or without, is somebody else's; "": they don't
	TargetHeader         string   // names the one server that may run the request; "": none does
	DropHeaders          []string // further headers of clients that end here
}

// Platform is the dialect of the platform in service.
var Platform = &Dialect{DeadlineHeader: headerTimeout, NotExecutedHeader: headerNotExecuted}

func (d *Dialect) drops(key []byte) bool {
	return hopByHop(key) || equalHeader(key, d.DeadlineHeader) || d.TargetHeader != "" && equalHeader(key, d.TargetHeader) ||
		slices.ContainsFunc(d.DropHeaders, func(name string) bool { return equalHeader(key, name) })
}

// The names of headers on the platform.
const (
	headerID          = "X-Request-ID"
	headerClass       = "X-Priority-Class"
	headerPlan        = "X-Tier"
	headerTimeout     = "X-Timeout"
	headerTerms       = "X-Call-Terms"
	headerRetried     = "X-Retried"
	headerNotExecuted = "X-Not-Processed"
	headerLoad        = "X-Server-Load"
)

// hop tells the headers that end at this gateway: those of the connection, and
// those that are written anew.
func hopByHop(key []byte) bool {
	switch len(key) {
	case 2:
		return equalHeader(key, "TE")
	case 6:
		return equalHeader(key, "Expect")
	case 7:
		return equalHeader(key, "Trailer") || equalHeader(key, "Upgrade")
	case 9:
		return equalHeader(key, headerTimeout)
	case 10:
		return equalHeader(key, "Connection") || equalHeader(key, "Keep-Alive")
	case 14:
		return equalHeader(key, "Content-Length")
	case 16:
		return equalHeader(key, "Proxy-Connection")
	case 17:
		return equalHeader(key, "Transfer-Encoding")
	}
	return false
}

func equalHeader(key []byte, name string) bool {
	return len(key) == len(name) && (string(key) == name || bytes.EqualFold(key, []byte(name)))
}

// NewCall copies a request, since its memory is used again. see is shown each header.
func NewCall(ctx *fasthttp.RequestCtx, see func(key, value []byte)) *Call {
	return Platform.NewCall(ctx, see)
}

// NewCall is the same in another dialect.
func (d *Dialect) NewCall(ctx *fasthttp.RequestCtx, see func(key, value []byte)) *Call {
	h := &ctx.Request.Header
	c := &Call{head: make([]byte, 0, 512)}
	if d.CorrelationHeader != "" {
		c.correlation = &correlationID{header: d.CorrelationHeader}
	}
	c.head = append(c.head, h.Method()...)
	c.head = append(c.head, ' ')
	c.head = append(c.head, h.RequestURI()...)
	c.head = append(c.head, " HTTP/1.1\r\n"...)
	for key, value := range h.All() {
		see(key, value)
		if c.correlation != nil && equalHeader(key, d.CorrelationHeader) {
			c.correlation.value = append([]byte(nil), value...)
		}
		if !d.drops(key) {
			c.head = append(append(append(append(c.head, key...), ": "...), value...), '\r', '\n')
		}
	}
	var length int
	c.body, c.upload, length, c.err = readBody(ctx)
	switch {
	case c.upload != nil && length < 0:
		c.head = append(c.head, "Transfer-Encoding: chunked\r\n"...)
		c.body = append(append(append(strconv.AppendInt(nil, int64(len(c.body)), 16), '\r', '\n'), c.body...), '\r', '\n')
	case length > 0 || !h.IsGet() && !h.IsHead():
		c.head = append(c.head, "Content-Length: "...)
		c.head = append(strconv.AppendInt(c.head, int64(length), 10), '\r', '\n')
	}
	return c
}

// name is what tells a request from all others that are under way.
type correlationID struct {
	header    string
	value     []byte
	usedConns transport.ConnHistory
}

// Owns reports whether an answer is to this request: it repeats its name, and no other. One
// to a request without a name has none.
func (c *Call) Matches(answer *fasthttp.Response) bool {
	if c.correlation == nil {
		return true
	}
	mine := len(c.correlation.value) == 0
	for key, value := range answer.Header.All() {
		if equalHeader(key, c.correlation.header) {
			if mine = bytes.Equal(value, c.correlation.value); !mine {
				return false
			}
		}
	}
	return mine
}

// Trips are the connections that it has gone by.
func (c *Call) UsedConns() *transport.ConnHistory {
	if c.correlation == nil {
		return nil
	}
	return &c.correlation.usedConns
}

// Upload is what follows the beginning that wire returns. Only the first who asks gets it.
func (c *Call) Upload() transport.Upload {
	switch {
	case c.upload == nil:
		return nil
	case c.upload.started.Swap(true):
		return consumedUpload{}
	}
	return c.upload
}

// spent tells that the request can't be sent again.
func (c *Call) bodyConsumed() bool { return c.upload != nil && c.upload.started.Load() }

// Err tells why a request's body did not come.
func (c *Call) Err() error { return c.err }

// Bind makes a request carry the call, whose client waits so long.
func (c *Call) Bind(r *routing.Request, limit time.Duration) {
	r.Call, r.BodyConsumed = c, c.bodyConsumed
	if c.upload != nil {
		c.upload.limit = limit
	}
}

// AddHeader sets a header that the client did not send.
func (c *Call) AddHeader(key, value string) {
	c.head = append(append(append(append(c.head, key...), ": "...), value...), '\r', '\n')
}

// wire is the request as one attempt sends it to a server, with the time it has left.
func (d *Dialect) encode(c *Call, target string, left time.Duration) []byte {
	if c.upload != nil {
		left = c.upload.limit
	}
	w := make([]byte, 0, len(c.head)+len(c.body)+len(d.DeadlineHeader)+len(d.TargetHeader)+len(target)+24)
	w = append(w, c.head...)
	if d.TargetHeader != "" {
		w = append(append(append(append(w, d.TargetHeader...), ": "...), target...), '\r', '\n')
	}
	w = append(append(w, d.DeadlineHeader...), ": "...)
	if left = max(left, time.Millisecond); d.DeadlineInMillis {
		w = strconv.AppendInt(w, left.Milliseconds(), 10)
	} else {
		w = strconv.AppendFloat(w, left.Seconds(), 'f', 3, 64)
	}
	w = append(w, "\r\n\r\n"...)
	return append(w, c.body...)
}
