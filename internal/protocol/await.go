package protocol

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/hostenv"
	"asterwell/internal/routing"
	"asterwell/internal/transport"
)

// Core is the part of the core that a front uses.
type Core interface {
	Submit(r *routing.Request)
	BodyProgress(r *routing.Request) // more of its body has been sent
	ClientGone(r *routing.Request)
}

// OpenIDs is the set of IDs of the requests in progress, shared by all fronts.
type OpenIDs struct {
	mu   sync.Mutex
	open map[string]bool
}

// NewOpenIDs returns an empty set.
func NewOpenIDs() *OpenIDs { return &OpenIDs{open: map[string]bool{}} }

// add adds an ID, and returns false if it is already there.
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

// ReplyWaiter passes the result of a request from the core to the client's handler.
type ReplyWaiter struct {
	mu    sync.Mutex
	end   requestEnd
	ready hostenv.Notifier // notifies the handler
}

// complete ends the request with the core's result.
func (a *ReplyWaiter) complete(r Result) {
	if _, first := a.finish(r); first {
		a.ready.Notify()
	}
}

// finish ends the request, and returns its only result, and whether that is r.
func (a *ReplyWaiter) finish(r Result) (final Result, first bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.end.give(r)
}

// result returns the result of a request that has ended.
func (a *ReplyWaiter) result() Result {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.end.result
}

func (a *ReplyWaiter) done() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.end.ended()
}

// Served is called by the core.
func (a *ReplyWaiter) Served(answer any) {
	a.complete(Result{Kind: Served, Answer: answer.(*fasthttp.Response)})
}

// Refused is called by the core.
func (a *ReplyWaiter) Refused(after time.Duration, verdict routing.Verdict) {
	f := Result{Kind: Refused, RetryAfter: after, Status: fasthttp.StatusTooManyRequests, Verdict: verdict}
	if verdict != routing.NotAttempted || after == 0 {
		f.Status = fasthttp.StatusServiceUnavailable
	}
	a.complete(f)
}

// Disallowed is called by the core.
func (a *ReplyWaiter) Disallowed(err error) { a.complete(Result{Kind: Disallowed, Err: err}) }

// Failed is called by the core.
func (a *ReplyWaiter) Failed(timedOut bool) {
	if timedOut {
		a.complete(Result{Kind: TimedOut})
		return
	}
	a.complete(Result{Kind: Failed})
}

// Await submits a request whose Reply is a *ReplyWaiter, and waits for its result or for
// the client to disconnect. Servers identify requests by their IDs, so no two requests in
// progress may share one.
func Await(ctx *fasthttp.RequestCtx, core Core, ids *OpenIDs, id string, r *routing.Request) Result {
	if id != "" { // requests without an ID are never duplicates
		if !ids.add(id) {
			return Result{Kind: DuplicateID}
		}
		defer ids.remove(id)
	}
	a := r.Reply.(*ReplyWaiter)
	c, ok := ctx.Conn().(*transport.ClientConn)
	if !ok { // not a connection that can report a disconnect
		a.ready = hostenv.Real.NewNotifier()
		core.Submit(r)
		for !a.done() {
			a.ready.Wait(-1)
		}
		return a.result()
	}
	if c.Ended() { // nobody waits for it, and no server has seen it
		return Result{Kind: ClientLeft}
	}
	a.ready = c.Notifier()
	var rest *bodyUpload
	if call, ok := r.Call.(*Call); ok && call.upload != nil {
		rest = call.upload
		rest.wakeClient = c.Notifier().Notify
		defer func() {
			if !rest.complete { // the next request can't be located in the stream: tell the client that it was not read
				ctx.SetConnectionClose()
			}
		}()
	}
	core.Submit(r)
	if rest != nil {
		if err := rest.readFrom(c, a.done, func() { core.BodyProgress(r) }); err != nil {
			rest.Stop()
			return a.giveUp(core, r, bodyFailure(c, err))
		}
		if !c.AwaitFor(rest.limit, a.done) && !c.Ended() {
			return a.giveUp(core, r, Result{Kind: TimedOut})
		}
	}
	if !c.Await(a.done) {
		return a.giveUp(core, r, Result{Kind: ClientLeft})
	}
	return a.result()
}

// giveUp ends a request that the core has not ended, and returns its result.
func (a *ReplyWaiter) giveUp(core Core, r *routing.Request, result Result) Result {
	final, first := a.finish(result)
	if first {
		core.ClientGone(r)
	}
	return final
}

// bodyFailure returns the result of a request whose body could not be streamed. A server may have begun to run it with the part
// that it got, so that a client that was too slow gets no promise that it has not run.
func bodyFailure(c *transport.ClientConn, err error) Result {
	if c.Ended() {
		return Result{Kind: ClientLeft}
	}
	failure := incompleteBody(err)
	if failure == bodyError(fasthttp.StatusRequestTimeout) {
		failure = bodyError(fasthttp.StatusBadGateway)
	}
	return Result{Kind: BodyFailed, Err: failure}
}
