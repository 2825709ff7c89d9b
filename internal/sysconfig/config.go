package sysconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Configuration is the decoded form of the JSON that an operator submits. Numbers are
// float64 because the JSON may write 600.0 for 600.
type Configuration struct {
	Epoch      string
	BoundsReq  Limits
	Principals []Principal
	Sockets    []Socket
	Pools      []Pool
	Rollout    *Rollout

	version uint32
}

// Limits are the request size limits and timeouts that apply to clients.
type Limits struct{ MaxHeaderBytes, MaxBodyBytes, HeaderReadMs, KeepaliveMs float64 }

// Principal is a tenant with its API keys, rate limit and optional priority rank.
type Principal struct {
	Name                string
	Credentials         []string
	Rank                *float64
	RatePerS, BurstSize float64
}

// Socket is a virtual host with its routes.
type Socket struct {
	Authority string
	Policy    []Rule
}

// Rule is a route: a path prefix, the class of its requests and where they are sent.
type Rule struct {
	Name, RouteClass string
	TargetMs, Rank   float64
	Anonymous        bool
	Predicate        struct{ PathPrefix string }
	Effect           Effect
}

// Effect is the destination of a route: one service, or several with weighted shares.
type Effect struct {
	Backend    string
	Partition  []Part
	DeadlineMs float64
	Tries      float64
}

// Part is the share of a route's requests that one service receives.
type Part struct {
	Backend string
	Share   float64
}

// Pool is a backend service.
type Pool struct {
	Name, ProbePath string
	MaxConns        float64
	Protocol        string
	Encrypted       bool
}

// Version returns the Epoch as a number.
func (c *Configuration) Version() uint32 { return c.version }

// Parse decodes and validates a configuration; an invalid one returns a *Fault. The
// checks are written in Go because a configuration arrives while the process serves
// traffic on a fraction of a core, and the schema that reports all faults at once
// (package sysconfig/schema) costs many times as much. Unusual values that the protocol
// doesn't list as invalid are accepted: rejecting a valid change would hurt the operator
// more than accepting an odd one.
func Parse(body []byte) (*Configuration, error) {
	c := new(Configuration)
	if err := json.Unmarshal(body, c); err != nil {
		return nil, decodeFault(body, err)
	}
	v, err := strconv.ParseUint(c.Epoch, 16, 32)
	if len(c.Epoch) != 8 || err != nil {
		return nil, &Fault{Key: "Epoch", Why: "not eight hexadecimal digits: " + strconv.Quote(c.Epoch)}
	}
	if c.version = uint32(v); c.version == 0 {
		return nil, &Fault{Key: "Epoch", Why: "00000000 stands for no configuration: the first one is 00000001 or above"}
	}
	if f := c.checkRollout(); f != nil {
		return nil, f
	}
	if f := c.checkCredentials(); f != nil {
		return nil, f
	}
	if f := c.checkRoutes(); f != nil {
		return nil, f
	}
	return c, nil
}

// checkCredentials rejects a key that belongs to more than one principal.
func (c *Configuration) checkCredentials() *Fault {
	owner := map[string]int{}
	for i, p := range c.Principals {
		for j, key := range p.Credentials {
			if o, ok := owner[key]; ok && o != i {
				return &Fault{Key: fmt.Sprintf("Principals[%d].Credentials[%d]", i, j),
					Why: fmt.Sprintf("is a key of Principals[%d] too", o)}
			}
			owner[key] = i
		}
	}
	return nil
}

// checkRoutes validates each route and rejects two routes with the same host and prefix.
func (c *Configuration) checkRoutes() *Fault {
	services := make(map[string]bool, len(c.Pools))
	for _, p := range c.Pools {
		services[p.Name] = true
	}
	type hostPrefix struct{ host, prefix string }
	seen := map[hostPrefix]string{}
	for i := range c.Sockets {
		host := Host(c.Sockets[i].Authority)
		for j := range c.Sockets[i].Policy {
			r := &c.Sockets[i].Policy[j]
			if key, why := r.validate(services); why != "" {
				return &Fault{Key: routeKey(i, j) + "." + key, Why: why}
			}
			p := hostPrefix{host, r.Predicate.PathPrefix}
			if first, ok := seen[p]; ok {
				return &Fault{Key: routeKey(i, j) + ".Predicate.PathPrefix", Why: "same host and prefix as " + first}
			}
			seen[p] = routeKey(i, j)
		}
	}
	return nil
}

// routeKey is the key of route j of socket i.
func routeKey(i, j int) string { return fmt.Sprintf("Sockets[%d].Policy[%d]", i, j) }

// validate checks one route against the names of the configured services. It returns
// the key that is wrong, relative to the route, and the reason, which is empty for a
// valid route.
func (r *Rule) validate(services map[string]bool) (key, why string) {
	e := &r.Effect
	switch {
	case !strings.HasPrefix(r.Predicate.PathPrefix, "/"):
		return "Predicate.PathPrefix", "does not begin with a slash: " + strconv.Quote(r.Predicate.PathPrefix)
	case e.DeadlineMs <= 0:
		return "Effect.DeadlineMs", "must be above 0"
	case r.TargetMs >= e.DeadlineMs+60_000:
		return "TargetMs", "exceeds Effect.DeadlineMs by a minute or more"
	}
	if e.Backend != "" && !services[e.Backend] {
		return "Effect.Backend", "unknown service " + strconv.Quote(e.Backend)
	}
	if e.Backend == "" && e.Partition == nil {
		return "Effect.Backend", "missing, and so is Effect.Partition"
	}
	sum := 0.0
	for k, p := range e.Partition {
		part := "Effect.Partition[" + strconv.Itoa(k) + "]"
		if !services[p.Backend] {
			return part + ".Backend", "unknown service " + strconv.Quote(p.Backend)
		}
		if p.Share < 0 {
			return part + ".Share", "is below 0"
		}
		sum += p.Share
	}
	if sum <= 0 && (e.Backend == "" || len(e.Partition) > 0) {
		return "Effect.Partition", "the shares sum to 0"
	}
	return "", ""
}

// decodeFault converts an error of the JSON decoder into a fault that names the key, or
// the byte offset where the text isn't JSON.
func decodeFault(body []byte, err error) *Fault {
	var te *json.UnmarshalTypeError
	var se *json.SyntaxError
	switch {
	case errors.As(err, &te):
		key := keyPathAt(body, te.Offset)
		if key == "" {
			return &Fault{Why: "not an object"}
		}
		return &Fault{Key: key, Why: te.Value + " cannot stand here"}
	case errors.As(err, &se):
		return &Fault{Why: fmt.Sprintf("no JSON at byte %d: %s", se.Offset, se.Error())}
	}
	return &Fault{Why: err.Error()}
}

// keyPathAt returns the key path of the value that ends at or contains an offset. It
// reads the text again because the path in the decoder's error has no list indexes.
func keyPathAt(body []byte, offset int64) string {
	type level struct {
		key    string
		hasKey bool // the key has been read, its value hasn't
		list   bool
		index  int
	}
	var stack []level
	path := func() string {
		var b strings.Builder
		for _, l := range stack {
			switch {
			case l.list:
				b.WriteString("[" + strconv.Itoa(l.index) + "]")
			case b.Len() > 0:
				b.WriteString("." + l.key)
			default:
				b.WriteString(l.key)
			}
		}
		return b.String()
	}
	d := json.NewDecoder(bytes.NewReader(body))
	for {
		token, err := d.Token()
		if err != nil {
			return path()
		}
		top := len(stack) - 1
		if delim, ok := token.(json.Delim); ok && (delim == '}' || delim == ']') {
			stack = stack[:top]
			continue
		}
		if top >= 0 && !stack[top].list && !stack[top].hasKey {
			stack[top].key, stack[top].hasKey = token.(string), true
			continue
		}
		if top >= 0 {
			stack[top].index++
			stack[top].hasKey = false
		}
		if d.InputOffset() >= offset {
			return path()
		}
		if token == json.Delim('{') || token == json.Delim('[') {
			stack = append(stack, level{list: token == json.Delim('['), index: -1})
		}
	}
}
