package protocol

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/choice"
	"asterwell/internal/hostenv"
	"asterwell/internal/ops"
	"asterwell/internal/routing"
	"asterwell/internal/transport"
)

// Core is what a front needs of the core.
type Core interface {
	Submit(r *routing.Request)
	BodyProgress(r *routing.Request) // more of its body has gone out
	ClientGone(r *routing.Request)
}

// IDs are the ids of the requests that are open, on all fronts together.
type OpenIDs struct {
	mu   sync.Mutex
	open map[string]bool
}

// NewIDs returns an empty set.
func NewOpenIDs() *OpenIDs { return &OpenIDs{open: map[string]bool{}} }

// take adds an id, unless it is there.
func (s *OpenIDs) add(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.open[id]
	s.open[id] = true
	return !taken
}

func (s *OpenIDs) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, id)
}

// Tally hears how clients' requests end.
type RequestObserver interface {
	Took() // a request is under way
	Gave() // and no more
	Ended(class string, how ops.How)
}

// Front is the platform's front: it reads a request's terms from its headers.
type Front struct {
	Core     Core
	IDs      *OpenIDs
	Now      func() time.Duration
	Ready    func() bool
	Leaving  func() bool     // the next request should come in elsewhere
	Observer RequestObserver // nil: nobody counts
	gateways int
	policy   atomic.Pointer[policyTerms]

	// Late makes the core fit requests to the policy, once it knows by which it decides.
	DeferTerms bool
}

// terms are what a policy allows requests.
type policyTerms struct {
	classes      map[string]choice.Class
	planMaxUnits map[string]float64 // the most units that a request can have
}

// NewFront returns a front for the classes and plans of the settings.
func NewFront(set choice.Settings) *Front {
	f := &Front{IDs: NewOpenIDs(), gateways: set.Gateways}
	f.UpdatePolicy(set)
	return f
}

// Adopt puts another policy's classes and plans in force. A request that is being read
// goes by one of the two; where the front is Late, the core tells by which.
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

// MostUnits is what a request can take from a plan at all.
func MaxPlanUnits(set *choice.Settings, p *choice.Plan) float64 {
	most := cmp.Or(set.MaxUnits, math.MaxFloat64)
	if p.Rate > 0 {
		most = min(most, p.Burst)
	}
	if p.CeilingRate > 0 {
		most = min(most, p.CeilingBurst)
	}
	return most
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
	case Disallowed:
		WriteBadRequest(ctx, a.Err)
	}
}

func (f *Front) requestStarted() {
	if f.Observer != nil {
		f.Observer.Took()
	}
}

func (f *Front) requestEnded(class string, how ops.How) {
	if f.Observer != nil {
		f.Observer.Gave()
		if how != "" {
			f.Observer.Ended(class, how)
		}
	}
}

// passing is an answer that is being passed on: how it ends is known at its end.
type observedBody struct {
	io.Reader
	done     func(how ops.How)
	complete bool
}

func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.complete = b.complete || err == io.EOF
	return n, err
}

// Close is called once, with the answer written or not.
func (b *observedBody) Close() error {
	if b.done(map[bool]ops.How{true: ops.Success, false: ops.Failure}[b.complete]); b.complete {
		return nil
	}
	return b.Reader.(io.Closer).Close()
}

// figure is how figures name the kinds; the others are no requests, or nobody is left.
var outcomeMetric = map[Kind]ops.How{Served: ops.Success, Refused: ops.Overload, Failed: ops.Failure, TimedOut: ops.Failure}

// longest is how long a body may take at all, at the pace that a client must keep.
const maxUploadTime = 20 * time.Minute

// Bad answers a request whose terms are wrong.
func WriteBadRequest(ctx *fasthttp.RequestCtx, err error) {
	ctx.Error(err.Error()+"\n", fasthttp.StatusBadRequest)
	if status, ok := err.(bodyError); ok {
		ctx.SetStatusCode(int(status))
		ctx.SetConnectionClose()
	}
	if allow, ok := err.(wrongMethod); ok {
		ctx.Response.Header.Set("Allow", string(allow))
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	}
}

// wrongMethod is an error that tells the right one.
type wrongMethod string

func (m wrongMethod) Error() string { return "the class has the method " + string(m) }

// MaxID is the longest id taken.
const MaxID = 128

// customers is the number of customers that there can be.
const customerCount = 1 << 33

// singles are the headers that a request may have once. Which of two counts
// would be anybody's guess, and another's may differ.
var singleValueHeaders = [...]string{headerID, headerClass, headerPlan, headerTimeout, headerTerms, "Cookie", headerRetried}

// request reads a request's terms. Whatever is wrong with them is the client's
// fault, and is told before the core hears of it.
func (f *Front) request(ctx *fasthttp.RequestCtx) (r *routing.Request, id string, err error) {
	var got [len(singleValueHeaders)]string
	var seen [len(singleValueHeaders)]bool
	r = &routing.Request{Reply: &ReplyWaiter{}}
	call := NewCall(ctx, func(key, value []byte) {
		for i, name := range singleValueHeaders {
			if equalHeader(key, name) {
				if seen[i] {
					err = fmt.Errorf("%s: more than one", name)
				}
				got[i], seen[i] = string(value), true
			}
		}
	})
	if err == nil {
		err = call.err
	}
	if err != nil {
		return nil, "", err
	}
	r.Call, r.BodyConsumed = call, call.bodyConsumed
	id, r.Class, r.Plan, r.IsRetry = got[0], got[1], got[2], got[6] == "1"
	switch {
	case id == "":
		return nil, "", fmt.Errorf("%s is missing", headerID)
	case len(id) > MaxID:
		return nil, "", fmt.Errorf("%s: longer than %d bytes", headerID, MaxID)
	}
	said := requestTerms{method: string(ctx.Method()), body: len(call.body) > 0 || call.upload != nil, timeout: got[3], terms: got[4], at: f.Now()}
	policy := f.policy.Load()
	if !f.DeferTerms {
		if err := policy.check(r, said); err != nil {
			return nil, "", err
		}
	}
	var number uint64
	if r.Customer = Cookie(got[5], "client"); len(r.Customer) != 16 {
		return nil, "", fmt.Errorf("Cookie: client must be 16 hex digits, got %q", r.Customer)
	} else if number, err = strconv.ParseUint(r.Customer, 16, 64); err != nil || number >= customerCount {
		return nil, "", fmt.Errorf("Cookie: client must be 16 hex digits for a number under 2^33, got %q", r.Customer)
	}
	if f.DeferTerms {
		r.Deadline = said.at + time.Hour // until the policy says
		r.ResolveTerms = func() error {
			policy := f.policy.Load()
			if err := policy.check(r, said); err != nil {
				return err
			}
			return f.applyTerms(policy, r, said)
		}
		return r, id, nil
	}
	return r, id, f.applyTerms(policy, r, said)
}

// said is what a request says and the policy must allow.
type requestTerms struct {
	method         string
	body           bool
	timeout, terms string
	at             time.Duration
}

// allows holds a request against the policy's classes and plans.
func (t *policyTerms) check(r *routing.Request, s requestTerms) error {
	class, known := t.classes[r.Class]
	_, sold := t.planMaxUnits[r.Plan]
	method := "POST"
	if class.Effect == choice.Retryable {
		method = "GET"
	}
	switch {
	case !known:
		return fmt.Errorf("%s: unknown class %q", headerClass, r.Class)
	case !sold:
		return fmt.Errorf("%s: unknown plan %q", headerPlan, r.Plan)
	case s.method != method:
		return wrongMethod(method)
	case method == "GET" && s.body:
		return errors.New("a GET has no body here")
	}
	return nil
}

// limits gives it its terms by them.
func (f *Front) applyTerms(t *policyTerms, r *routing.Request, s requestTerms) error {
	limit, err := Timeout(s.timeout, t.classes[r.Class].Deadline)
	if err != nil {
		return fmt.Errorf("%s: %w", headerTimeout, err)
	}
	r.Deadline = s.at + limit
	if call, ok := r.Call.(*Call); ok && call.upload != nil { // time counts from the body's end
		call.upload.limit = limit
		r.Deadline += maxUploadTime
	}
	r.Units, r.Gateways, r.FirstGateway, err = f.parseCallTerms(s.terms, t.planMaxUnits[r.Plan])
	return err
}

// Timeout reads a client's time in seconds. No client waits longer than its
// class allows, whatever it says.
func Timeout(text string, most time.Duration) (time.Duration, error) {
	if text == "" {
		return most, nil
	}
	s, err := strconv.ParseFloat(text, 64)
	if err != nil || !(s > 0) || s > 3600 {
		return 0, fmt.Errorf("not a time in seconds: %q", text)
	}
	d := time.Duration(s * float64(time.Second))
	if most > 0 {
		d = min(d, most)
	}
	return d, nil
}

// terms reads units=2,spread=3,first=1.
func (f *Front) parseCallTerms(text string, most float64) (units float64, width, first int, err error) {
	units, width = min(1, most), f.gateways
	seen := map[string]bool{}
	for item := range strings.SplitSeq(text, ",") {
		key, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		var bad error
		switch key {
		case "units":
			if units, bad = strconv.ParseFloat(value, 64); bad == nil && !(units > 0 && units <= most) {
				bad = strconv.ErrRange
			}
		case "spread":
			if width, bad = strconv.Atoi(value); bad == nil && (width < 1 || width > f.gateways) {
				bad = strconv.ErrRange
			}
		case "first":
			if first, bad = strconv.Atoi(value); bad == nil && (first < 0 || first >= f.gateways) {
				bad = strconv.ErrRange
			}
		}
		if bad != nil || seen[key] {
			return 0, 0, 0, fmt.Errorf("%s: bad %s %q", headerTerms, key, value)
		}
		seen[key] = true
	}
	return units, width, first, nil
}

// Cookie finds a cookie in the header's text.
func Cookie(text, name string) string {
	for part := range strings.SplitSeq(text, ";") {
		if key, value, _ := strings.Cut(strings.TrimSpace(part), "="); key == name {
			return value
		}
	}
	return ""
}

// Kind is the sort of a final answer.
type Kind int

// The kinds of a final answer.
const (
	Served Kind = iota
	Refused
	Failed
	TimedOut
	ClientLeft  // the client went away: nobody is answered
	DuplicateID // a request with that id is open: this one was not submitted
	Disallowed  // the policy in force does not allow what it says
)

// SameID is what a client hears then.
const DuplicateIDMessage = "a request with this id is open"

// Final is the one answer to a request.
type Result struct {
	Kind       Kind
	Answer     *fasthttp.Response
	RetryAfter time.Duration
	Status     int             // of a refusal: 429, or 503 where the servers are at fault
	Verdict    routing.Verdict // of a refusal
	Err        error           // of one that is Unfit
}

// Answers hands a request's one answer from the core to the client's handler.
type ReplyWaiter struct {
	mu        sync.Mutex
	result    Result
	completed bool
	abandoned bool             // nobody is there to take it
	ready     hostenv.Notifier // of whoever waits
}

func (a *ReplyWaiter) complete(f Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.abandoned { // there is one answer, and it is told by now
		Discard(f.Answer)
		return
	}
	a.result, a.completed = f, true
	a.ready.Notify()
}

// leave gives up the answer, be it there or still to come.
func (a *ReplyWaiter) abandon() {
	a.mu.Lock()
	if a.abandoned = true; a.completed {
		Discard(a.result.Answer)
	}
	a.mu.Unlock()
}

// Drop gives up an answer that nobody takes, and with it the connection that it comes on.
func Discard(answer any) {
	if resp, _ := answer.(*fasthttp.Response); resp != nil && resp.IsBodyStream() {
		resp.CloseBodyStream()
	}
}

func (a *ReplyWaiter) done() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.completed
}

// Served is told by the core.
func (a *ReplyWaiter) Served(answer any) {
	a.complete(Result{Kind: Served, Answer: answer.(*fasthttp.Response)})
}

// Refused is told by the core.
func (a *ReplyWaiter) Refused(after time.Duration, verdict routing.Verdict) {
	f := Result{Kind: Refused, RetryAfter: after, Status: fasthttp.StatusTooManyRequests, Verdict: verdict}
	if verdict != routing.NotAttempted || after == 0 {
		f.Status = fasthttp.StatusServiceUnavailable
	}
	a.complete(f)
}

// Unfit is told by the core.
func (a *ReplyWaiter) Disallowed(err error) { a.complete(Result{Kind: Disallowed, Err: err}) }

// Failed is told by the core.
func (a *ReplyWaiter) Failed(timedOut bool) {
	if timedOut {
		a.complete(Result{Kind: TimedOut})
		return
	}
	a.complete(Result{Kind: Failed})
}

// Await submits a request whose Reply is an *Answers, and waits for its answer
// or for the client's end. Servers tell requests by their ids, so that there
// must not be two with one.
func Await(ctx *fasthttp.RequestCtx, core Core, ids *OpenIDs, id string, r *routing.Request) Result {
	if id != "" { // those without one are nobody's twins
		if !ids.add(id) {
			return Result{Kind: DuplicateID}
		}
		defer ids.remove(id)
	}
	a := r.Reply.(*ReplyWaiter)
	c, ok := ctx.Conn().(*transport.ClientConn)
	if !ok { // no connection that could end
		a.ready = hostenv.Real.NewNotifier()
		core.Submit(r)
		for !a.done() {
			a.ready.Wait(-1)
		}
		return a.result
	}
	a.ready = c.Notifier()
	var rest *bodyUpload
	if call, ok := r.Call.(*Call); ok && call.upload != nil {
		rest = call.upload
		rest.wakeClient = c.Notifier().Notify
		defer func() {
			if !rest.complete { // what follows it can't be found: who has sent more must hear that it was not read
				ctx.SetConnectionClose()
			}
		}()
	}
	core.Submit(r)
	if rest != nil && !a.sendBody(c, core, r, rest) {
		return Result{Kind: ClientLeft}
	}
	if !c.Await(a.done) {
		core.ClientGone(r)
		a.abandon()
		return Result{Kind: ClientLeft}
	}
	return a.result
}

// uploads gives a request's body to whoever sends it, and bounds the wait for what comes
// after that. It reports false if there is nobody left to answer.
func (a *ReplyWaiter) sendBody(c *transport.ClientConn, core Core, r *routing.Request, rest *bodyUpload) bool {
	if !rest.readFrom(c, a.done, func() { core.BodyProgress(r) }) {
		rest.Stop()
		core.ClientGone(r)
		a.abandon()
		return false
	}
	if !c.AwaitFor(rest.limit, a.done) {
		core.ClientGone(r)
		a.mu.Lock()
		defer a.mu.Unlock()
		if !a.completed { // its time is up
			a.abandoned, a.completed, a.result = true, true, Result{Kind: TimedOut}
		}
	}
	return true
}

// PassOn copies a server's answer to the client, its body unchanged.
func CopyResponse(ctx *fasthttp.RequestCtx, answer *fasthttp.Response) {
	copyResponse(ctx, answer, func(ops.How) {})
}

// passOn tells done how an answer that streams has ended.
func copyResponse(ctx *fasthttp.RequestCtx, answer *fasthttp.Response, done func(how ops.How)) {
	for key, value := range answer.Header.All() {
		if !hopByHop(key) && !equalHeader(key, headerLoad) && !equalHeader(key, "Date") {
			ctx.Response.Header.AddBytesKV(key, value)
		}
	}
	if stream := answer.BodyStream(); stream != nil { // it belongs to the client's answer from here on
		ctx.Response.ImmediateHeaderFlush = true
		ctx.Response.SetBodyStream(&observedBody{Reader: stream, done: done}, answer.Header.ContentLength())
		return
	}
	ctx.Response.SwapBody(answer.SwapBody(nil))
	fasthttp.ReleaseResponse(answer)
}
