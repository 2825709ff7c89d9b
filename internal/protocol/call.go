// Package protocol implements the platform's protocol: the HTTP front for clients, the
// exchange with servers and the interpretation of its outcomes, service discovery, and
// the client of the shared counter.
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

// Call is a client's request as it is forwarded: method, path, query, body and headers
// unchanged.
type Call struct {
	head        []byte // the request line and the forwarded headers
	body        []byte
	upload      *bodyUpload    // the remainder of the body; nil: none
	correlation *correlationID // repeated by the response; nil: the dialect has none
	Transparent bool           // any complete response with a status below 500 goes to the client
	Final       bool           // any complete response goes to the client: no other server may be asked
	StageTimes  *StageTimes    // nil: not measured
}

// Dialect describes the headers that a deployment's servers use.
type Dialect struct {
	DeadlineHeader       string   // remaining time of a request
	DeadlineInMillis     bool     // the deadline is in milliseconds, otherwise in seconds
	NotExecutedHeader    string   // in a response: the request has not run
	NotExecutedAnyStatus bool     // it counts with any status, otherwise only with 503 and 504
	CorrelationHeader    string   // repeated by the response; one with another value, or without, belongs to another request; "": not used
	TargetHeader         string   // names the only server that may run the request; "": not used
	DropHeaders          []string // further client headers that are not forwarded
}

// Platform is the dialect of the production platform.
var Platform = &Dialect{DeadlineHeader: headerTimeout, NotExecutedHeader: headerNotExecuted}

func (d *Dialect) drops(key []byte) bool {
	return hopByHop(key) || equalHeader(key, d.DeadlineHeader) || d.TargetHeader != "" && equalHeader(key, d.TargetHeader) ||
		slices.ContainsFunc(d.DropHeaders, func(name string) bool { return equalHeader(key, name) })
}

// Header names of the platform.
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

// hopByHop reports whether a header is not forwarded: those of the connection, and those
// that the gateway writes itself.
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

// NewCall copies a request, since its memory is reused. It calls see for each header. It fails if the body did not arrive as
// announced: WriteBadRequest answers such a request.
func NewCall(ctx *fasthttp.RequestCtx, see func(key, value []byte)) (*Call, error) {
	return Platform.NewCall(ctx, transport.MaxStream, see)
}

// NewCall is like the function NewCall, in this dialect and with a limit on the bytes of the body.
func (d *Dialect) NewCall(ctx *fasthttp.RequestCtx, maxBody int, see func(key, value []byte)) (*Call, error) {
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
	var err error
	if c.body, c.upload, length, err = readBody(ctx, min(maxBody, transport.MaxStream)); err != nil {
		return nil, err
	}
	switch {
	case c.upload != nil && length < 0:
		c.head = append(c.head, "Transfer-Encoding: chunked\r\n"...)
		c.body = append(append(append(strconv.AppendInt(nil, int64(len(c.body)), 16), '\r', '\n'), c.body...), '\r', '\n')
	case length > 0 || !h.IsGet() && !h.IsHead():
		c.head = append(c.head, "Content-Length: "...)
		c.head = append(strconv.AppendInt(c.head, int64(length), 10), '\r', '\n')
	}
	return c, nil
}

// correlationID distinguishes a request from all others in progress.
type correlationID struct {
	header    string
	value     []byte
	usedConns transport.ConnHistory
}

// Matches reports whether a response belongs to this request: it repeats its correlation ID
// and no other. The response to a request without an ID has none.
func (c *Call) Matches(answer *fasthttp.Response) bool {
	if c.correlation == nil {
		return true
	}
	matched := len(c.correlation.value) == 0
	for key, value := range answer.Header.All() {
		if equalHeader(key, c.correlation.header) {
			if matched = bytes.Equal(value, c.correlation.value); !matched {
				return false
			}
		}
	}
	return matched
}

// UsedConns returns the connections that attempts of the request have used.
func (c *Call) UsedConns() *transport.ConnHistory {
	if c.correlation == nil {
		return nil
	}
	return &c.correlation.usedConns
}

// Upload returns the remainder after the bytes that encode returns. Only the first caller gets it.
func (c *Call) Upload() transport.Upload {
	switch {
	case c.upload == nil:
		return nil
	case c.upload.started.Swap(true):
		return consumedUpload{}
	}
	return c.upload
}

// bodyConsumed reports whether the request can't be sent again.
func (c *Call) bodyConsumed() bool { return c.upload != nil && c.upload.started.Load() }

// Bind attaches the call to a request, with the time limit of its client.
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

// encode returns the request as an attempt sends it, with its remaining time.
func (d *Dialect) encode(c *Call, target string, left time.Duration) []byte {
	if c.upload != nil { // its deadline may have time for the body in addition
		left = min(left, c.upload.limit)
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
