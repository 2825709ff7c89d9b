package protocol

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/choice"
	"asterwell/internal/routing"
)

// MaxID is the longest accepted request ID in bytes.
const MaxID = 128

// customerCount is the number of possible customer numbers.
const customerCount = 1 << 33

// singleValueHeaders may occur only once in a request: with two values, recipients could
// follow different ones.
var singleValueHeaders = [...]string{headerID, headerClass, headerPlan, headerTimeout, headerTerms, "Cookie", headerRetried}

// request reads and validates a request. Invalid ones are answered as client errors
// before they reach the core.
func (f *Front) request(ctx *fasthttp.RequestCtx) (r *routing.Request, id string, err error) {
	var got [len(singleValueHeaders)]string
	var seen [len(singleValueHeaders)]bool
	r = &routing.Request{Reply: &ReplyWaiter{}}
	var repeated error
	call, err := NewCall(ctx, func(key, value []byte) {
		for i, name := range singleValueHeaders {
			if equalHeader(key, name) {
				if seen[i] {
					repeated = fmt.Errorf("%s: more than one", name)
				}
				got[i], seen[i] = string(value), true
			}
		}
	})
	if err = cmp.Or(repeated, err); err != nil {
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
	terms := requestTerms{method: string(ctx.Method()), body: len(call.body) > 0 || call.upload != nil, timeout: got[3], terms: got[4], at: f.Now()}
	policy := f.policy.Load()
	if !f.DeferTerms {
		if err := policy.check(r, terms); err != nil {
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
		r.Deadline = terms.at + time.Hour // until the policy sets it
		r.ResolveTerms = func() error {
			policy := f.policy.Load()
			if err := policy.check(r, terms); err != nil {
				return err
			}
			return f.applyTerms(policy, r, terms)
		}
		return r, id, nil
	}
	return r, id, f.applyTerms(policy, r, terms)
}

// requestTerms are the properties of a request that are checked against the policy.
type requestTerms struct {
	method         string
	body           bool
	timeout, terms string
	at             time.Duration
}

// check checks a request against the policy's classes and plans.
func (t *policyTerms) check(r *routing.Request, s requestTerms) error {
	class, knownClass := t.classes[r.Class]
	_, knownPlan := t.planMaxUnits[r.Plan]
	method := "POST"
	if class.Effect == choice.Retryable {
		method = "GET"
	}
	switch {
	case !knownClass:
		return fmt.Errorf("%s: unknown class %q", headerClass, r.Class)
	case !knownPlan:
		return fmt.Errorf("%s: unknown plan %q", headerPlan, r.Plan)
	case s.method != method:
		return wrongMethod(method)
	case method == "GET" && s.body:
		return errors.New("a GET has no body here")
	}
	return nil
}

// applyTerms sets the deadline, units and gateways of a request according to the policy.
func (f *Front) applyTerms(t *policyTerms, r *routing.Request, s requestTerms) error {
	limit, err := Timeout(s.timeout, t.classes[r.Class].Deadline)
	if err != nil {
		return fmt.Errorf("%s: %w", headerTimeout, err)
	}
	r.Deadline = s.at + limit
	if call, ok := r.Call.(*Call); ok && call.upload != nil { // the limit counts from the end of the body
		call.upload.limit = limit
		r.Deadline += maxUploadTime
	}
	r.Units, r.Gateways, r.FirstGateway, err = f.parseCallTerms(s.terms, t.planMaxUnits[r.Plan])
	return err
}

// Timeout parses a client's timeout in seconds, and limits it to the one of its class.
func Timeout(text string, limit time.Duration) (time.Duration, error) {
	if text == "" {
		return limit, nil
	}
	s, err := strconv.ParseFloat(text, 64)
	if err != nil || !(s > 0) || s > 3600 {
		return 0, fmt.Errorf("not a time in seconds: %q", text)
	}
	d := time.Duration(s * float64(time.Second))
	if limit > 0 {
		d = min(d, limit)
	}
	return d, nil
}

// parseCallTerms parses a header such as units=2,spread=3,first=1.
func (f *Front) parseCallTerms(text string, maxUnits float64) (units float64, width, first int, err error) {
	units, width = min(1, maxUnits), f.gateways
	seen := map[string]bool{}
	for item := range strings.SplitSeq(text, ",") {
		key, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		var bad error
		switch key {
		case "units":
			if units, bad = strconv.ParseFloat(value, 64); bad == nil && !(units > 0 && units <= maxUnits) {
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

// Cookie returns the value of a cookie in a Cookie header.
func Cookie(text, name string) string {
	for part := range strings.SplitSeq(text, ";") {
		if key, value, _ := strings.Cut(strings.TrimSpace(part), "="); key == name {
			return value
		}
	}
	return ""
}

// MaxPlanUnits returns the most units that one request can take from a plan.
func MaxPlanUnits(set *choice.Settings, p *choice.Plan) float64 {
	units := cmp.Or(set.MaxUnits, math.MaxFloat64)
	if p.Rate > 0 {
		units = min(units, p.Burst)
	}
	if p.CeilingRate > 0 {
		units = min(units, p.CeilingBurst)
	}
	return units
}
