// Package openapi implements a front whose routes, request classes and costs come from
// an OpenAPI description. It uses the same core as the platform's front, and follows the
// same rules.
package openapi

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"net/http"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/routers"
	"github.com/getkin/kin-openapi/routers/gorillamux"

	"asterwell/choice"
)

// Extensions of an operation. Missing ones are inherited from the path item, then from
// the description.
const (
	extClass   = "x-asterwell-class"      // the request class, as the settings name it
	extUnits   = "x-asterwell-units"      // quota units of a request; default 1
	extRepeat  = "x-asterwell-repeat"     // safe or never
	extTimeout = "x-asterwell-timeout-ms" // timeout of a request; default is the class's deadline
)

// Repeat says whether a request that may have run may be sent again.
type Repeat string

// The values of Repeat.
const (
	Unspecified Repeat = ""
	Safe        Repeat = "safe"
	Never       Repeat = "never"
)

func (r Repeat) check() error {
	switch r {
	case Unspecified, Safe, Never:
		return nil
	}
	return fmt.Errorf("must be safe or never, got %q", string(r))
}

// Route is an entry of the operator's route table. It can forbid repeats of operations
// that the description marks as safe; it can't allow more.
type Route struct {
	Path    string   `json:"path"` // as in the description; the parameters' names don't matter
	Methods []string `json:"methods"`
	Repeat  Repeat   `json:"repeat"`
}

// nonRetryableSuffix marks the variant of a class with the same settings that never runs twice.
const nonRetryableSuffix = "!once"

// AddNonRetryableVariants returns the classes and a non-retryable variant of each retryable
// one. Package choice decides by the class alone whether a request may run again, so a
// stricter route needs its own class.
func AddNonRetryableVariants(classes []choice.Class) []choice.Class {
	all := slices.Clone(classes)
	for _, c := range classes {
		if c.Effect != choice.NonRetryable {
			c.Name += nonRetryableSuffix
			c.Effect = choice.NonRetryable
			all = append(all, c)
		}
	}
	return all
}

// Operation holds the properties of a request that the core needs.
type Operation struct {
	Name    string // method and path
	Class   string
	Units   float64
	Timeout time.Duration
}

// Description is a parsed and validated OpenAPI description. It is immutable.
type Description struct {
	router routers.Router
	ops    map[string]*Operation
	Notes  []string // contradictions in the description, and how they were resolved
}

// Rules are the settings that a description is validated against.
type Rules struct {
	Classes  []choice.Class // of the settings, without variants
	MaxUnits float64
	Routes   []Route
}

// Parse parses a description. It returns an error if any part is invalid or refers to
// something that the settings don't define.
func Parse(text []byte, rules Rules) (*Description, error) {
	doc, err := openapi3.NewLoader().LoadFromData(text)
	if err != nil {
		return nil, err
	}
	if err := doc.Validate(context.Background()); err != nil {
		return nil, err
	}
	// The gateway replaces the described servers: only the path of their URLs is used.
	for i, s := range doc.Servers {
		u, err := url.Parse(s.URL)
		if err != nil || strings.Contains(s.URL, "{") {
			return nil, fmt.Errorf("servers[%d].url: not a plain address: %q", i, s.URL)
		}
		doc.Servers[i] = &openapi3.Server{URL: "/" + strings.Trim(u.Path, "/")}
	}
	d := &Description{ops: map[string]*Operation{}}
	for _, path := range slices.Sorted(maps.Keys(doc.Paths.Map())) {
		item := doc.Paths.Value(path)
		if len(item.Servers) > 0 {
			return nil, fmt.Errorf("paths.%s.servers: only the description's own servers are supported", path)
		}
		for _, method := range slices.Sorted(maps.Keys(item.Operations())) {
			op := item.Operations()[method]
			if op.Servers != nil && len(*op.Servers) > 0 {
				return nil, fmt.Errorf("paths.%s.%s.servers: only the description's own servers are supported", path, method)
			}
			o, err := d.operation(method, path, rules, op.Extensions, item.Extensions, doc.Extensions)
			if err != nil {
				return nil, fmt.Errorf("paths.%s.%s: %w", path, strings.ToLower(method), err)
			}
			d.ops[method+" "+path] = o
		}
	}
	if d.router, err = gorillamux.NewRouter(doc); err != nil {
		return nil, err
	}
	return d, nil
}

// operation parses one operation; the first level that has an extension takes precedence.
func (d *Description) operation(method, path string, rules Rules, levels ...map[string]any) (*Operation, error) {
	o := &Operation{Name: method + " " + path, Units: 1}
	var repeat Repeat
	var ms float64
	for key, to := range map[string]any{extClass: &o.Class, extUnits: &o.Units, extRepeat: &repeat, extTimeout: &ms} {
		for _, l := range levels {
			if v, ok := l[key]; ok {
				text, err := json.Marshal(v)
				if err == nil {
					err = json.Unmarshal(text, to)
				}
				if err != nil {
					return nil, fmt.Errorf("%s: %w", key, err)
				}
				break
			}
		}
	}
	i := slices.IndexFunc(rules.Classes, func(c choice.Class) bool { return c.Name == o.Class })
	switch {
	case o.Class == "":
		return nil, fmt.Errorf("%s is missing", extClass)
	case i < 0:
		return nil, fmt.Errorf("%s: unknown class %q", extClass, o.Class)
	case !(o.Units > 0) || math.IsInf(o.Units, 0) || rules.MaxUnits > 0 && o.Units > rules.MaxUnits:
		return nil, fmt.Errorf("%s: must be above 0 and at most %v, got %v", extUnits, rules.MaxUnits, o.Units)
	case !(ms >= 0) || ms > 3.6e6:
		return nil, fmt.Errorf("%s: must be between 0 and an hour, got %v", extTimeout, ms)
	}
	if err := repeat.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", extRepeat, err)
	}
	class := rules.Classes[i]
	if o.Timeout = class.Deadline; ms > 0 {
		o.Timeout = min(o.Timeout, time.Duration(ms*float64(time.Millisecond)))
	}
	if repeat == Unspecified { // according to the HTTP method
		if repeat = Never; method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions {
			repeat = Safe
		}
	}
	// The strictest of the class, the operation and the operator's route wins:
	// a read sent once costs a retry, a submission sent twice can't be undone.
	strict := repeat
	for _, r := range rules.Routes {
		if r.matches(method, path) && r.Repeat != Unspecified {
			if r.Repeat != repeat {
				d.note("%s: the operation says %s, the route says %s: never repeated", o.Name, repeat, r.Repeat)
			}
			if r.Repeat == Never {
				strict = Never
			}
		}
	}
	if class.Effect == choice.NonRetryable {
		if strict == Safe {
			d.note("%s: the operation says safe, its class %s never runs twice: never repeated", o.Name, class.Name)
		}
	} else if strict == Never {
		o.Class += nonRetryableSuffix
	}
	return o, nil
}

func (d *Description) note(format string, args ...any) {
	d.Notes = append(d.Notes, fmt.Sprintf(format, args...))
}

var parameter = regexp.MustCompile(`\{[^}]*\}`)

// matches ignores the names of path parameters: renaming one in the description must not
// disable a route.
func (r *Route) matches(method, path string) bool {
	return parameter.ReplaceAllString(r.Path, "{}") == parameter.ReplaceAllString(path, "{}") &&
		(len(r.Methods) == 0 || slices.Contains(r.Methods, method))
}

// Find returns the operation that matches a request.
func (d *Description) Find(method, rawPath string) (*Operation, error) {
	u, err := url.ParseRequestURI(rawPath)
	if err != nil {
		return nil, routers.ErrPathNotFound
	}
	route, _, err := d.router.FindRoute(&http.Request{Method: method, URL: u, Host: "gateway"})
	if err != nil {
		return nil, err
	}
	return d.ops[route.Method+" "+route.Path], nil
}

// Allowed returns the methods of a path.
func (d *Description) Allowed(rawPath string) []string {
	var all []string
	for _, m := range []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT", "TRACE"} {
		if o, err := d.Find(m, rawPath); err == nil && o != nil {
			all = append(all, m)
		}
	}
	return all
}

// Validate returns an error for the first invalid key of a route.
func (r *Route) Validate() error {
	if !strings.HasPrefix(r.Path, "/") {
		return fmt.Errorf("path must begin with /, got %q", r.Path)
	}
	for i, m := range r.Methods {
		if m == "" || m != strings.ToUpper(m) {
			return fmt.Errorf("methods[%d] must be in capitals, got %q", i, m)
		}
	}
	if r.Repeat == Unspecified {
		return fmt.Errorf("repeat is missing")
	}
	if err := r.Repeat.check(); err != nil {
		return fmt.Errorf("repeat %w", err)
	}
	return nil
}
