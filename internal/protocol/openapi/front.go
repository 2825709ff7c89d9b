package openapi

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"math"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/getkin/kin-openapi/routers"
	"github.com/valyala/fasthttp"

	"asterwell/choice"
	"asterwell/internal/hostenv"
	"asterwell/internal/protocol"
	"asterwell/internal/routing"
)

// HeaderNames are the names of the headers with a request's customer and plan.
type HeaderNames struct {
	CustomerHeader string
	PlanHeader     string
	DefaultPlan    string // used if the header is missing; "": the header is required
}

// Front serves the operations of a description.
type Front struct {
	Core         protocol.Core
	IDs          *protocol.OpenIDs // shared with the platform's front
	Now          func() time.Duration
	Leaving      func() bool
	Random       func() uint64 // for generating missing request IDs
	names        HeaderNames
	rules        Rules
	planMaxUnits map[string]float64 // the most units of a request
	gateways     int
	current      atomic.Pointer[Description]
}

// NewFront returns a front without a description.
func NewFront(set choice.Settings, routes []Route, names HeaderNames) *Front {
	f := &Front{IDs: protocol.NewOpenIDs(), Random: hostenv.Real.Random, names: names, planMaxUnits: map[string]float64{}, gateways: set.Gateways,
		rules: Rules{Classes: set.Classes, MaxUnits: set.MaxUnits, Routes: routes}}
	for _, p := range set.Plans {
		f.planMaxUnits[p.Name] = protocol.MaxPlanUnits(&set, &p)
	}
	return f
}

// Replace atomically replaces the description. An invalid one changes nothing. A request
// keeps the operation it was matched with, since the core already has its class.
func (f *Front) Replace(text []byte) error {
	d, err := Parse(text, f.rules)
	if err != nil {
		return err
	}
	for _, n := range d.Notes {
		log.Printf("event=description note=%q", n)
	}
	f.current.Store(d)
	log.Printf("event=description operations=%d", len(d.ops))
	return nil
}

// Handle serves one request.
func (f *Front) Handle(ctx *fasthttp.RequestCtx) {
	defer func() {
		if f.Leaving() { // clients should send their next request to another gateway
			ctx.SetConnectionClose()
		}
	}()
	ctx.SetStatusCode(protocol.StatusUnanswered)
	r, id, status, err := f.request(ctx)
	if err != nil {
		problem(ctx, status, err.Error())
		return
	}
	a := protocol.Await(ctx, f.Core, f.IDs, id, r)
	//exhaustive:enforce
	switch a.Kind {
	case protocol.Served:
		ctx.SetStatusCode(a.Answer.StatusCode())
		protocol.CopyResponse(ctx, a.Answer)
	case protocol.Refused:
		if a.RetryAfter > 0 { // HTTP requires whole seconds; round up
			ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
		}
		problem(ctx, a.Status, "not served: it may be sent again without harm")
	case protocol.TimedOut:
		problem(ctx, fasthttp.StatusGatewayTimeout, "no answer in time: it may have run")
	case protocol.Failed:
		problem(ctx, fasthttp.StatusBadGateway, "the server failed: it may have run")
	case protocol.DuplicateID:
		problem(ctx, fasthttp.StatusConflict, "X-Request-ID: "+protocol.DuplicateIDMessage)
	case protocol.Disallowed, protocol.BodyFailed:
		ctx.SetConnectionClose()
		problem(ctx, protocol.BadRequestStatus(a.Err), a.Err.Error())
	case protocol.ClientLeft:
		protocol.AnswerUnheard(ctx)
	}
	if a.Kind != protocol.Served {
		protocol.RefuseOwnSuccess(ctx)
	}
}

// request finds the operation of a request and validates it. If it is invalid, it returns
// the status to answer with.
func (f *Front) request(ctx *fasthttp.RequestCtx) (r *routing.Request, id string, status int, err error) {
	singles := [...]string{f.names.CustomerHeader, f.names.PlanHeader, "X-Request-ID", "X-Timeout"}
	var got [len(singles)]string
	var seen [len(singles)]bool
	twice := ""
	call, bodyErr := protocol.NewCall(ctx, func(key, value []byte) {
		for i, name := range singles {
			if strings.EqualFold(string(key), name) {
				if seen[i] {
					twice = name
				}
				got[i], seen[i] = string(value), true
			}
		}
	})
	customer, plan, id := got[0], got[1], got[2]
	if !seen[1] {
		plan = f.names.DefaultPlan
	}
	fail := func(status int, format string, args ...any) (*routing.Request, string, int, error) {
		return nil, "", status, fmt.Errorf(format, args...)
	}
	most, sold := f.planMaxUnits[plan]
	d, uri := f.current.Load(), string(ctx.Request.Header.RequestURI())
	op, err := d.Find(string(ctx.Method()), uri)
	switch {
	case errors.Is(err, routers.ErrMethodNotAllowed):
		ctx.Response.Header.Set("Allow", strings.Join(d.Allowed(uri), ", "))
		return fail(fasthttp.StatusMethodNotAllowed, "the description has no such method here")
	case err != nil || op == nil:
		return fail(fasthttp.StatusNotFound, "the description has no such path")
	case twice != "":
		return fail(fasthttp.StatusBadRequest, "%s: more than one", twice)
	case customer == "":
		ctx.Response.Header.Set("WWW-Authenticate", "ApiKey header="+f.names.CustomerHeader)
		return fail(fasthttp.StatusUnauthorized, "%s is missing", f.names.CustomerHeader)
	case !sold:
		return fail(fasthttp.StatusBadRequest, "%s: unknown plan %q", f.names.PlanHeader, plan)
	case op.Units > most:
		return fail(fasthttp.StatusForbidden, "the operation costs %v units, the plan %s allows %v", op.Units, plan, most)
	case len(id) > protocol.MaxID:
		return fail(fasthttp.StatusBadRequest, "X-Request-ID: longer than %d bytes", protocol.MaxID)
	case bodyErr != nil:
		ctx.SetConnectionClose()
		return fail(protocol.BadRequestStatus(bodyErr), "%w", bodyErr)
	}
	limit, err := protocol.Timeout(got[3], op.Timeout)
	if err != nil {
		return fail(fasthttp.StatusBadRequest, "X-Timeout: %w", err)
	}
	if id == "" {
		id = fmt.Sprintf("%016x", f.Random())
		call.AddHeader("X-Request-ID", id)
	}
	call.Transparent = true
	r = &routing.Request{Reply: &protocol.ReplyWaiter{}, Class: op.Class, Units: op.Units, Plan: plan,
		Gateways: f.gateways, Customer: customerKey(customer), Deadline: f.Now() + limit}
	call.Bind(r, limit)
	return r, id, 0, nil
}

// customerKey returns a customer's key on the counter, which is the same for all gateways
// and both fronts. The platform's 16 hex digits are unchanged; anything else is hashed,
// since the counter's names are short and may be visible to others.
func customerKey(name string) string {
	if len(name) == 16 {
		if _, err := strconv.ParseUint(name, 16, 64); err == nil {
			return name
		}
	}
	sum := sha256.Sum256([]byte(name))
	return hex.EncodeToString(sum[:8])
}

// problem answers with RFC 9457 problem details.
func problem(ctx *fasthttp.RequestCtx, status int, detail string) {
	body, _ := json.Marshal(map[string]any{"status": status, "title": fasthttp.StatusMessage(status), "detail": detail})
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/problem+json")
	ctx.SetBody(body)
}
