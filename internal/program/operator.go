package program

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"asterwell/choice"
	"asterwell/internal/protocol/openapi"
)

// Operator is the operator's file for the OpenAPI front. ASTERWELL_OPENAPI
// names it; without that it is deploy/openapi.json, if there is one.
type Operator struct {
	Enabled        bool            `json:"enabled"`
	Listen         string          `json:"listen"`
	Description    string          `json:"description"`
	PollMs         float64         `json:"poll_ms"`
	MaxBodyKB      int             `json:"max_body_kb"`
	CustomerHeader string          `json:"customer_header"`
	PlanHeader     string          `json:"plan_header"`
	DefaultPlan    string          `json:"default_plan"`
	Routes         []openapi.Route `json:"routes"`
}

const operatorFile = "deploy/openapi.json"

// ReadOperator reads the operator's file, gives it its defaults and checks it
// against the settings. Without a file the front is off.
func ReadOperator(env func(string) string, set *choice.Settings) (*Operator, error) {
	path := env("ASTERWELL_OPENAPI")
	if path == "" {
		path = operatorFile
		if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
			return &Operator{}, nil
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("ASTERWELL_OPENAPI: %w", err)
	}
	o, err := parseOperator(text, set)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return o, nil
}

func parseOperator(text []byte, set *choice.Settings) (*Operator, error) {
	o := &Operator{PollMs: 1000, MaxBodyKB: 256, CustomerHeader: "X-Api-Key", PlanHeader: "X-Tier"}
	in := json.NewDecoder(bytes.NewReader(text))
	in.DisallowUnknownFields()
	if err := in.Decode(o); err != nil {
		return nil, keyed(err)
	}
	if !o.Enabled { // what a disabled front would do is not checked
		return o, nil
	}
	if err := address("listen", o.Listen); err != nil {
		return nil, err
	}
	known := o.DefaultPlan == ""
	for _, p := range set.Plans {
		known = known || p.Name == o.DefaultPlan
	}
	switch {
	case o.Description == "":
		return nil, fmt.Errorf("description is missing")
	case !(o.PollMs >= 10):
		return nil, fmt.Errorf("poll_ms must be at least 10, got %v", o.PollMs)
	case o.MaxBodyKB < 1 || o.MaxBodyKB > 1024:
		return nil, fmt.Errorf("max_body_kb must be 1 to 1024, got %d", o.MaxBodyKB)
	case o.CustomerHeader == "":
		return nil, fmt.Errorf("customer_header is empty")
	case o.PlanHeader == "" && o.DefaultPlan == "":
		return nil, fmt.Errorf("plan_header and default_plan are both empty")
	case !known:
		return nil, fmt.Errorf("default_plan: unknown plan %q", o.DefaultPlan)
	}
	for i, r := range o.Routes {
		if err := r.Validate(); err != nil {
			return nil, fmt.Errorf("routes[%d].%w", i, err)
		}
	}
	return o, nil
}

func (o *Operator) poll() time.Duration { return time.Duration(o.PollMs * float64(time.Millisecond)) }

func (o *Operator) names() openapi.HeaderNames {
	return openapi.HeaderNames{CustomerHeader: o.CustomerHeader, PlanHeader: o.PlanHeader, DefaultPlan: o.DefaultPlan}
}
