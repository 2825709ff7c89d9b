package faultrules

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Kind is the kind of a rule's effect.
type Kind string

// The kinds of effects. docs/faults.md describes what callers see of each.
const (
	Delay        Kind = "delay"         // the request is forwarded after a delay
	VanishBefore Kind = "vanish-before" // the request is dropped; its caller gets no response
	VanishAfter  Kind = "vanish-after"  // the request runs, but its response is dropped
	Double       Kind = "double"        // the request runs twice; its caller gets the first response
)

// Rule is one fault for one tenant.
type Rule struct {
	Name     string
	Tenant   string   // exact name, never a pattern
	Routes   []string `json:",omitempty"` // names; empty matches all
	Methods  []string `json:",omitempty"` // empty matches all
	Share    float64  // of the matching requests, in (0, 1]
	Effect   Kind
	DelayMs  float64 `json:",omitempty"`
	ToMs     float64 `json:",omitempty"` // upper bound of a random delay from DelayMs
	MostPerS float64 `json:",omitempty"` // limit of doubles over all nodes, to bound the load added to a service
	EndsS    float64 // seconds after the set was acknowledged
	Budget   int     // limit of strikes over all nodes
}

// Ends returns the lifetime of the rule.
func (r *Rule) Ends() time.Duration { return time.Duration(r.EndsS * float64(time.Second)) }

// Set is a complete rule set, which replaces the previous one. Only the first rule that matches a
// request strikes it.
type Set struct {
	Version uint32
	By, Why string // author and reason
	Rules   []Rule
}

// ValidationError reports an invalid field of a rule set.
type ValidationError struct{ Key, Why string }

func (e *ValidationError) Error() string {
	if e.Key == "" {
		return e.Why
	}
	return e.Key + ": " + e.Why
}

// Limits on rule sets.
const (
	maxRules       = 64
	maxNameBytes   = 128
	maxBudget      = 1_000_000
	maxDelayMs     = 600_000
	maxDoublesPerS = 1000
)

// Parse decodes and validates a rule set. Its error is a *ValidationError, or joins one for each
// invalid key. longest is the longest lifetime of a rule in this deployment.
func Parse(body []byte, longest time.Duration) (*Set, error) {
	s, d := new(Set), json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		if t := (*json.UnmarshalTypeError)(nil); errors.As(err, &t) {
			return nil, &ValidationError{t.Field, fmt.Sprintf("a %s does not belong here (byte %d)", t.Value, t.Offset)}
		}
		return nil, &ValidationError{"", strings.TrimPrefix(err.Error(), "json: ")}
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, &ValidationError{"", fmt.Sprintf("more text after the set (byte %d)", d.InputOffset())}
	}
	var errs []error
	check := func(invalid bool, key, why string, args ...any) {
		if invalid {
			errs = append(errs, &ValidationError{key, fmt.Sprintf(why, args...)})
		}
	}
	check(s.Version == 0, "Version", "missing; each set needs one above the last")
	check(s.By == "", "By", "missing: who wants this")
	check(s.Why == "", "Why", "missing: what for")
	check(len(s.Rules) == 0, "Rules", "none; to end all rules, stop them")
	check(len(s.Rules) > maxRules, "Rules", "more than %d", maxRules)
	seen := map[string]bool{}
	for i := range s.Rules {
		r, at := &s.Rules[i], fmt.Sprintf("Rules[%d].", i)
		check(r.Name == "" || len(r.Name) > maxNameBytes, at+"Name", "needs 1 to %d bytes", maxNameBytes)
		check(seen[r.Name], at+"Name", "%q is there twice", r.Name)
		seen[r.Name] = true
		check(r.Tenant == "", at+"Tenant", "missing: a rule is for one tenant")
		check(strings.ContainsAny(r.Tenant, "*?"), at+"Tenant", "%q: a name, not a pattern", r.Tenant)
		check(slices.Contains(r.Routes, ""), at+"Routes", "one is empty")
		for _, m := range r.Methods {
			check(m == "" || m != strings.ToUpper(m), at+"Methods", "%q is no method", m)
		}
		check(!(r.Share > 0 && r.Share <= 1), at+"Share", "above 0, at most 1")
		check(!(r.EndsS > 0 && r.EndsS <= longest.Seconds()), at+"EndsS", "above 0, at most %v here", longest.Seconds())
		check(r.Budget < 1 || r.Budget > maxBudget, at+"Budget", "from 1 to %d", maxBudget)
		switch r.Effect {
		case Delay:
			check(!(r.DelayMs > 0 && r.DelayMs <= maxDelayMs), at+"DelayMs", "above 0, at most %d", maxDelayMs)
			check(r.ToMs != 0 && !(r.ToMs >= r.DelayMs && r.ToMs <= maxDelayMs), at+"ToMs", "from DelayMs to %d", maxDelayMs)
		case Double:
			check(!(r.MostPerS > 0 && r.MostPerS <= maxDoublesPerS), at+"MostPerS", "above 0, at most %d", maxDoublesPerS)
		case VanishBefore, VanishAfter:
		default:
			check(true, at+"Effect", "%q is none of delay, vanish-before, vanish-after, double", r.Effect)
		}
		check(r.Effect != Delay && (r.DelayMs != 0 || r.ToMs != 0), at+"DelayMs", "goes with delay alone")
		check(r.Effect != Double && r.MostPerS != 0, at+"MostPerS", "goes with double alone")
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return s, nil
}

// Known checks a set against a configuration. A rule for an unknown tenant or route would never
// strike.
func (s *Set) Known(tenant, route func(name string) bool) error {
	var errs []error
	for i, r := range s.Rules {
		if !tenant(r.Tenant) {
			errs = append(errs, &ValidationError{fmt.Sprintf("Rules[%d].Tenant", i), fmt.Sprintf("%q is no tenant of the configuration", r.Tenant)})
		}
		for j, name := range r.Routes {
			if !route(name) {
				errs = append(errs, &ValidationError{fmt.Sprintf("Rules[%d].Routes[%d]", i, j), fmt.Sprintf("%q is no route of the configuration", name)})
			}
		}
	}
	return errors.Join(errs...)
}
