package protocol

import (
	"bytes"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/choice"
	"asterwell/internal/ops"
	"asterwell/internal/transport"
)

// RequestObserver is notified of the start and the outcome of client requests.
type RequestObserver interface {
	RequestStarted()  // a request has started
	RequestFinished() // a request has finished
	Ended(class string, how ops.How)
}

// Front is the HTTP front of the platform: it reads class, plan and limits of a request
// from its headers.
type Front struct {
	Core     Core
	IDs      *OpenIDs
	Now      func() time.Duration
	Ready    func() bool
	Leaving  func() bool     // clients should send their next request to another gateway
	Observer RequestObserver // may be nil
	gateways int
	policy   atomic.Pointer[policyTerms]

	// DeferTerms lets the core check requests against the policy once it knows which version applies.
	DeferTerms bool
}

// policyTerms are the classes and plans of a policy.
type policyTerms struct {
	classes      map[string]choice.Class
	planMaxUnits map[string]float64 // the most units of a request
}

// NewFront returns a front for the classes and plans of the settings.
func NewFront(set choice.Settings) *Front {
	f := &Front{IDs: NewOpenIDs(), gateways: set.Gateways}
	f.UpdatePolicy(set)
	return f
}

// UpdatePolicy replaces the classes and plans. A request that is being read uses one of the
// two versions; with DeferTerms, the core decides which.
func (f *Front) UpdatePolicy(set choice.Settings) {
	t := &policyTerms{map[string]choice.Class{}, map[string]float64{}}
	for _, c := range set.Classes {
		t.classes[c.Name] = c
	}
	for _, p := range set.Plans {
		t.planMaxUnits[p.Name] = MaxPlanUnits(&set, &p)
	}
	f.policy.Store(t)
}

// Handle serves one request.
func (f *Front) Handle(ctx *fasthttp.RequestCtx) {
	defer func() {
		if f.Leaving() {
			ctx.SetConnectionClose()
		}
	}()
	if uri := ctx.Request.Header.RequestURI(); bytes.HasPrefix(uri, []byte("/-/")) {
		switch {
		case string(uri) != "/-/ready":
			ctx.Error("not found\n", fasthttp.StatusNotFound)
		case !f.Ready():
			ctx.Error("not ready\n", fasthttp.StatusServiceUnavailable)
		default:
			ctx.SetBodyString("ready\n")
		}
		return
	}
	ctx.SetStatusCode(StatusUnanswered)
	r, id, err := f.request(ctx)
	if err != nil {
		WriteBadRequest(ctx, err)
		return
	}
	f.requestStarted()
	a := Await(ctx, f.Core, f.IDs, id, r)
	streams := a.Kind == Served && a.Answer.IsBodyStream()
	if !streams {
		f.requestEnded(r.Class, outcomeMetric[a.Kind])
	}
	//exhaustive:enforce
	switch a.Kind {
	case Served:
		ctx.SetStatusCode(a.Answer.StatusCode())
		copyResponse(ctx, a.Answer, func(how ops.How) { f.requestEnded(r.Class, how) })
	case Refused:
		if a.RetryAfter > 0 {
			ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
		}
		ctx.SetStatusCode(a.Status)
	case TimedOut:
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	case Failed:
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
	case DuplicateID:
		ctx.Error(headerID+": "+DuplicateIDMessage+"\n", fasthttp.StatusConflict)
	case Disallowed, BodyFailed:
		WriteBadRequest(ctx, a.Err)
	case ClientLeft:
		AnswerUnheard(ctx)
	}
	if a.Kind != Served {
		RefuseOwnSuccess(ctx)
	}
}

func (f *Front) requestStarted() {
	if f.Observer != nil {
		f.Observer.RequestStarted()
	}
}

func (f *Front) requestEnded(class string, how ops.How) {
	if f.Observer != nil {
		f.Observer.RequestFinished()
		if how != "" {
			f.Observer.Ended(class, how)
		}
	}
}

// observedBody is a streamed response body that reports its outcome when it is closed.
type observedBody struct {
	io.Reader
	client   *transport.ClientConn // nil: not a connection that can report a disconnect
	done     func(how ops.How)
	complete bool
}

// observe returns the stream of a response to a client. A server that is silent learns at once that its client has left.
func observe(ctx *fasthttp.RequestCtx, stream io.Reader, done func(how ops.How)) *observedBody {
	client, _ := ctx.Conn().(*transport.ClientConn)
	if server, ok := stream.(interface{ Abort() }); ok && client != nil {
		client.OnEnd(server.Abort)
	}
	return &observedBody{Reader: stream, client: client, done: done}
}

func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.complete = b.complete || err == io.EOF
	return n, err
}

// Close is called once, whether or not the response has been written.
func (b *observedBody) Close() error {
	if b.client != nil {
		b.client.OnEnd(nil)
	}
	if b.done(map[bool]ops.How{true: ops.Success, false: ops.Failure}[b.complete]); b.complete {
		return nil
	}
	return b.Reader.(io.Closer).Close()
}

// outcomeMetric maps kinds to outcomes in metrics. The others were not submitted, or the client left.
var outcomeMetric = map[Kind]ops.How{Served: ops.Success, Refused: ops.Overload, Failed: ops.Failure, TimedOut: ops.Failure}

// maxUploadTime bounds the transfer of a whole body, besides the timeout between two reads.
const maxUploadTime = 20 * time.Minute

// CopyResponse copies a server's response to the client, with its body unchanged.
func CopyResponse(ctx *fasthttp.RequestCtx, answer *fasthttp.Response) {
	copyResponse(ctx, answer, func(ops.How) {})
}

// copyResponse calls done with the outcome of a streamed response.
func copyResponse(ctx *fasthttp.RequestCtx, answer *fasthttp.Response, done func(how ops.How)) {
	for key, value := range answer.Header.All() {
		if !hopByHop(key) && !equalHeader(key, headerLoad) && !equalHeader(key, "Date") {
			ctx.Response.Header.AddBytesKV(key, value)
		}
	}
	if stream := answer.BodyStream(); stream != nil { // the client's response owns it from here on
		ctx.Response.ImmediateHeaderFlush = true
		ctx.Response.SetBodyStream(observe(ctx, stream, done), answer.Header.ContentLength())
		return
	}
	ctx.Response.SwapBody(answer.SwapBody(nil))
	fasthttp.ReleaseResponse(answer)
}
