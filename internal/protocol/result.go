package protocol

import (
	"log"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/routing"
)

// Kind is the kind of a Result.
type Kind int

// The kinds of results. A switch over them is checked to name each.
const (
	Served Kind = iota + 1
	Refused
	Failed
	TimedOut
	ClientLeft  // the client has disconnected, or sends no more: AnswerUnheard
	BodyFailed  // the client is there, but its body did not arrive: WriteBadRequest with Err
	DuplicateID // a request with this ID is in progress: this one was not submitted
	Disallowed  // the current policy does not allow the request
)

// DuplicateIDMessage is the error for DuplicateID.
const DuplicateIDMessage = "a request with this id is open"

// Result is the only result of a request.
type Result struct {
	Kind       Kind
	Answer     *fasthttp.Response
	RetryAfter time.Duration
	Status     int             // if Refused: 429, or 503 if the servers are the cause
	Verdict    routing.Verdict // if Refused
	Err        error           // if Disallowed or BodyFailed
}

// StatusUnanswered is the status of a response until a handler sets another. It promises nothing.
const StatusUnanswered = fasthttp.StatusBadGateway

// RefuseOwnSuccess replaces a response that no server gave if it is a success, and returns whether it was: a client would take
// its request for done. It never is, unless a front has a fault.
func RefuseOwnSuccess(ctx *fasthttp.RequestCtx) bool {
	if ctx.Response.StatusCode() >= fasthttp.StatusMultipleChoices {
		return false
	}
	ctx.Response.Reset()
	AnswerUnheard(ctx)
	log.Printf("event=false_success what=%q", "a success without a server's response was held back")
	return true
}

// AnswerUnheard sets the response to a client that has probably left. One that only ended its sending can't be told
// from it, and hears the response.
func AnswerUnheard(ctx *fasthttp.RequestCtx) {
	ctx.SetStatusCode(StatusUnanswered)
	ctx.SetConnectionClose()
}

// WriteBadRequest answers an invalid request.
func WriteBadRequest(ctx *fasthttp.RequestCtx, err error) {
	ctx.Error(err.Error()+"\n", BadRequestStatus(err))
	if _, ok := err.(bodyError); ok {
		ctx.SetConnectionClose()
	}
	if allow, ok := err.(wrongMethod); ok {
		ctx.Response.Header.Set("Allow", string(allow))
	}
}

// BadRequestStatus returns the status of the answer to an invalid request.
func BadRequestStatus(err error) int {
	switch err := err.(type) {
	case bodyError:
		return int(err)
	case wrongMethod:
		return fasthttp.StatusMethodNotAllowed
	}
	return fasthttp.StatusBadRequest
}

// wrongMethod is an error that carries the allowed method.
type wrongMethod string

func (m wrongMethod) Error() string { return "the class has the method " + string(m) }

// Discard drops an unused response; if it is streamed, its connection is closed.
func Discard(answer any) {
	if resp, _ := answer.(*fasthttp.Response); resp != nil && resp.IsBodyStream() {
		resp.CloseBodyStream()
	}
}
