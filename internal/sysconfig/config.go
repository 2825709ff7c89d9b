package sysconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Configuration is what an operator sends, as it stands in the text. Figures are
// fractions here because the text may write 600.0 for 600.
type Configuration struct {
	Epoch      string
	BoundsReq  Limits
	Principals []Principal
	Sockets    []Socket
	Pools      []Pool
	Rollout    *Rollout

	version uint32
}

// Limits bound what a client may send.
type Limits struct{ MaxHeaderBytes, MaxBodyBytes, HeaderReadMs, KeepaliveMs float64 }

// Principal is a tenant with its keys.
type Principal struct {
	Name                string
	Credentials         []string
	Rank                *float64
	RatePerS, BurstSize float64
}

// Socket has the routes of a host.
type Socket struct {
	Authority string
	Policy    []Rule
}

// Rule is a route.
type Rule struct {
	Name, RouteClass string
	TargetMs, Rank   float64
	Anonymous        bool
	Predicate        struct{ PathPrefix string }
	Effect           Effect
}

// Effect is where a request goes: to one service, or to several by their shares.
type Effect struct {
	Backend    string
	Partition  []Part
	DeadlineMs float64
	Tries      float64
}

// Part is a service's share of a route.
type Part struct {
	Backend string
	Share   float64
}

// Pool is a service.
type Pool struct {
	Name, ProbePath string
	MaxConns        float64
	Protocol        string
	Encrypted       bool
}

// Version is the Epoch as a number.
func (c *Configuration) Version() uint32 { return c.version }

// Parse reads a configuration and refuses an invalid one with a *Fault. Its checks
// are written in Go: a configuration arrives while traffic runs on a part of a core,
// and the schema that tells an operator everything at once (package sysconfig/schema)
// costs many times as much. What is only strange, and not on the protocol's list, is
// taken: an operator whose valid change is refused is worse off.
func Parse(body []byte) (*Configuration, error) {
	c := new(Configuration)
	if err := json.Unmarshal(body, c); err != nil {
		return nil, unread(body, err)
	}
	v, err := strconv.ParseUint(c.Epoch, 16, 32)
	if len(c.Epoch) != 8 || err != nil {
		return nil, &Fault{Key: "Epoch", Why: "not eight hexadecimal digits: " + strconv.Quote(c.Epoch)}
	}
	c.version = uint32(v)
	if f := c.checkRollout(); f != nil {
		return nil, f
	}
	if f := c.checkKeys(); f != nil {
		return nil, f
	}
	if f := c.checkRoutes(); f != nil {
		return nil, f
	}
	return c, nil
}

func (c *Configuration) checkKeys() *Fault {
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

func (c *Configuration) checkRoutes() *Fault {
	pools := make(map[string]bool, len(c.Pools))
	for _, p := range c.Pools {
		pools[p.Name] = true
	}
	type place struct{ host, prefix string }
	seen := map[place]string{}
	for i := range c.Sockets {
		host := Host(c.Sockets[i].Authority)
		for j := range c.Sockets[i].Policy {
			r := &c.Sockets[i].Policy[j]
			if key, why := r.check(pools); why != "" {
				return &Fault{Key: at(i, j) + "." + key, Why: why}
			}
			p := place{host, r.Predicate.PathPrefix}
			if other, ok := seen[p]; ok {
				return &Fault{Key: at(i, j) + ".Predicate.PathPrefix", Why: "same host and prefix as " + other}
			}
			seen[p] = at(i, j)
		}
	}
	return nil
}

func at(i, j int) string { return fmt.Sprintf("Sockets[%d].Policy[%d]", i, j) }

// check looks at one route by itself, and returns the key that is wrong and why.
func (r *Rule) check(pools map[string]bool) (key, why string) {
	e := &r.Effect
	switch {
	case !strings.HasPrefix(r.Predicate.PathPrefix, "/"):
		return "Predicate.PathPrefix", "does not begin with a slash: " + strconv.Quote(r.Predicate.PathPrefix)
	case e.DeadlineMs <= 0:
		return "Effect.DeadlineMs", "must be above 0"
	case r.TargetMs >= e.DeadlineMs+60_000:
		return "TargetMs", "exceeds Effect.DeadlineMs by a minute or more"
	}
	if e.Backend != "" && !pools[e.Backend] {
		return "Effect.Backend", "unknown service " + strconv.Quote(e.Backend)
	}
	if e.Backend == "" && e.Partition == nil {
		return "Effect.Backend", "missing, and so is Effect.Partition"
	}
	sum := 0.0
	for k, p := range e.Partition {
		part := "Effect.Partition[" + strconv.Itoa(k) + "]"
		if !pools[p.Backend] {
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

// unread turns what the decoder says into the key and the place of the trouble.
func unread(body []byte, err error) *Fault {
	var te *json.UnmarshalTypeError
	var se *json.SyntaxError
	switch {
	case errors.As(err, &te):
		key := keyAt(body, te.Offset)
		if key == "" {
			return &Fault{Why: "not an object"}
		}
		return &Fault{Key: key, Why: te.Value + " cannot stand here"}
	case errors.As(err, &se):
		return &Fault{Why: fmt.Sprintf("no JSON at byte %d: %s", se.Offset, se.Error())}
	}
	return &Fault{Why: err.Error()}
}

// keyAt walks the text to the value that ends at or holds an offset, since the
// decoder's own path leaves out which element of a list it was.
func keyAt(body []byte, offset int64) string {
	type level struct {
		key   string
		named bool // the key has been read, its value hasn't
		list  bool
		index int
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
		tok, err := d.Token()
		if err != nil {
			return path()
		}
		top := len(stack) - 1
		if delim, ok := tok.(json.Delim); ok && (delim == '}' || delim == ']') {
			stack = stack[:top]
			continue
		}
		if top >= 0 && !stack[top].list && !stack[top].named {
			stack[top].key, stack[top].named = tok.(string), true
			continue
		}
		if top >= 0 {
			stack[top].index++
			stack[top].named = false
		}
		if d.InputOffset() >= offset {
			return path()
		}
		if tok == json.Delim('{') || tok == json.Delim('[') {
			stack = append(stack, level{list: tok == json.Delim('['), index: -1})
		}
	}
}
