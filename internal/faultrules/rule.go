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

// Kind of effect.
type Kind string

// The kinds. What each looks like to the caller is in docs/faults.md.
const (
	Delay        Kind = "delay"         // before it is sent on
	VanishBefore Kind = "vanish-before" // it never runs, and its caller hears nothing
	VanishAfter  Kind = "vanish-after"  // it runs, and its caller hears nothing
	Double       Kind = "double"        // it runs twice, and its caller hears of the first
)

// Rule is one fault for one tenant.
type Rule struct {
	Name     string
	Tenant   string   // by its whole name; never a pattern
	Routes   []string `json:",omitempty"` // by name; none: all
	Methods  []string `json:",omitempty"` // none: all
	Share    float64  // of the requests that fit
	Effect   Kind
	DelayMs  float64 `json:",omitempty"`
	ToMs     float64 `json:",omitempty"` // the delay is drawn from DelayMs up to this
	MostPerS float64 `json:",omitempty"` // doubles, over all nodes: what they may add to a service
	EndsS    float64 // after it was acknowledged
	Budget   int     // strikes, over all nodes
}

// Ends is how long the rule may live.
func (r *Rule) Ends() time.Duration { return time.Duration(r.EndsS * float64(time.Second)) }

// Set is all rules that there shall be. The first that fits a request strikes it, alone.
type Set struct {
	Version uint32
	By, Why string // who wants it, and what for
	Rules   []Rule
}

// Wrong is a fault in a rule set.
type Wrong struct{ Key, Why string }

func (e *Wrong) Error() string {
	if e.Key == "" {
		return e.Why
	}
	return e.Key + ": " + e.Why
}

// Bounds of what operators may ask for.
const (
	maxRules       = 64
	maxNameBytes   = 128
	maxBudget      = 1_000_000
	maxDelayMs     = 600_000 // ms
	maxDoublesPerS = 1000
)

// Parse reads and checks a set whole; its error joins a *Wrong for each key. longest is the
// longest that this deployment lets a rule live.
func Parse(body []byte, longest time.Duration) (*Set, error) {
	s, d := new(Set), json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		if t := (*json.UnmarshalTypeError)(nil); errors.As(err, &t) {
			return nil, &Wrong{t.Field, fmt.Sprintf("a %s does not belong here (byte %d)", t.Value, t.Offset)}
		}
		return nil, &Wrong{"", strings.TrimPrefix(err.Error(), "json: ")}
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, &Wrong{"", fmt.Sprintf("more text after the set (byte %d)", d.InputOffset())}
	}
	var all []error
	wrong := func(bad bool, key, why string, args ...any) {
		if bad {
			all = append(all, &Wrong{key, fmt.Sprintf(why, args...)})
		}
	}
	wrong(s.Version == 0, "Version", "missing; each set needs one above the last")
	wrong(s.By == "", "By", "missing: who wants this")
	wrong(s.Why == "", "Why", "missing: what for")
	wrong(len(s.Rules) == 0, "Rules", "none; to end all rules, stop them")
	wrong(len(s.Rules) > maxRules, "Rules", "more than %d", maxRules)
	seen := map[string]bool{}
	for i := range s.Rules {
		r, at := &s.Rules[i], fmt.Sprintf("Rules[%d].", i)
		wrong(r.Name == "" || len(r.Name) > maxNameBytes, at+"Name", "needs 1 to %d bytes", maxNameBytes)
		wrong(seen[r.Name], at+"Name", "%q is there twice", r.Name)
		seen[r.Name] = true
		wrong(r.Tenant == "", at+"Tenant", "missing: a rule is for one tenant")
		wrong(strings.ContainsAny(r.Tenant, "*?"), at+"Tenant", "%q: a name, not a pattern", r.Tenant)
		wrong(slices.Contains(r.Routes, ""), at+"Routes", "one is empty")
		for _, m := range r.Methods {
			wrong(m == "" || m != strings.ToUpper(m), at+"Methods", "%q is no method", m)
		}
		wrong(!(r.Share > 0 && r.Share <= 1), at+"Share", "above 0, at most 1")
		wrong(!(r.EndsS > 0 && r.EndsS <= longest.Seconds()), at+"EndsS", "above 0, at most %v here", longest.Seconds())
		wrong(r.Budget < 1 || r.Budget > maxBudget, at+"Budget", "from 1 to %d", maxBudget)
		switch r.Effect {
		case Delay:
			wrong(!(r.DelayMs > 0 && r.DelayMs <= maxDelayMs), at+"DelayMs", "above 0, at most %d", maxDelayMs)
			wrong(r.ToMs != 0 && !(r.ToMs >= r.DelayMs && r.ToMs <= maxDelayMs), at+"ToMs", "from DelayMs to %d", maxDelayMs)
		case Double:
			wrong(!(r.MostPerS > 0 && r.MostPerS <= maxDoublesPerS), at+"MostPerS", "above 0, at most %d", maxDoublesPerS)
		case VanishBefore, VanishAfter:
		default:
			wrong(true, at+"Effect", "%q is none of delay, vanish-before, vanish-after, double", r.Effect)
		}
		wrong(r.Effect != Delay && (r.DelayMs != 0 || r.ToMs != 0), at+"DelayMs", "goes with delay alone")
		wrong(r.Effect != Double && r.MostPerS != 0, at+"MostPerS", "goes with double alone")
	}
	if len(all) > 0 {
		return nil, errors.Join(all...)
	}
	return s, nil
}

// Known checks a set against a configuration: a tenant or route that isn't there would
// make a rule that never strikes.
func (s *Set) Known(tenant, route func(name string) bool) error {
	var all []error
	for i, r := range s.Rules {
		if !tenant(r.Tenant) {
			all = append(all, &Wrong{fmt.Sprintf("Rules[%d].Tenant", i), fmt.Sprintf("%q is no tenant of the configuration", r.Tenant)})
		}
		for j, name := range r.Routes {
			if !route(name) {
				all = append(all, &Wrong{fmt.Sprintf("Rules[%d].Routes[%d]", i, j), fmt.Sprintf("%q is no route of the configuration", name)})
			}
		}
	}
	return errors.Join(all...)
}
