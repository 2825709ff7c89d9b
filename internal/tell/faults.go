package tell

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"
)

const faults = "/api/faults"

// Faults is how fault rules stand.
type Faults struct {
	Version         uint32
	Turn            uint64
	Stopped, Active bool
	Waits           []string // mesh addresses of processes that have not confirmed
	Primary         string
	LeaseMs         int64
	Rules           []FaultRule
	Set             json.RawMessage
}

// FaultRule is how one stands.
type FaultRule struct {
	Name                string
	LeftS               float64
	Budget, Given, Used int
}

// Strike is what befell one request.
type Strike struct {
	At                                      time.Time
	Rule, Effect, Tenant, Route, Method, ID string
	DelayMs                                 float64
	Node, Outcome                           string
}

// PutFaults sends a set of fault rules.
func (c *Client) PutFaults(ctx context.Context, body []byte) (*Faults, *Answer, error) {
	return c.faults(ctx, http.MethodPut, body)
}

// Faults reads the fault rules and how they stand.
func (c *Client) Faults(ctx context.Context) (*Faults, *Answer, error) {
	return c.faults(ctx, http.MethodGet, nil)
}

// StopFaults stops all fault rules.
func (c *Client) StopFaults(ctx context.Context) (*Faults, *Answer, error) {
	return c.faults(ctx, http.MethodDelete, nil)
}

func (c *Client) faults(ctx context.Context, method string, body []byte) (*Faults, *Answer, error) {
	a, err := c.call(ctx, method, faults, body)
	if err != nil {
		return nil, nil, err
	}
	f := new(Faults)
	if err := json.Unmarshal(a.Body, f); err != nil {
		return nil, a, fmt.Errorf("%s: fault rules: %w", a.At, err)
	}
	return f, a, nil
}

// Strikes reads what one gateway has on record.
func (c *Client) Strikes(ctx context.Context) ([]Strike, error) {
	a, err := c.call(ctx, http.MethodGet, "/api/strikes", nil)
	if err != nil {
		return nil, err
	}
	var all []Strike
	if err := json.Unmarshal(a.Body, &all); err != nil {
		return nil, fmt.Errorf("%s: strikes: %w", a.At, err)
	}
	return all, nil
}

// Write prints how the rules stand.
func (f *Faults) Write(to io.Writer) error {
	switch {
	case f.Version == 0:
		fmt.Fprintln(to, "no fault rules")
		return nil
	case f.Stopped:
		fmt.Fprintf(to, "version %d: stopped; where a process is cut off, within %d ms\n", f.Version, f.LeaseMs)
	case f.Active:
		fmt.Fprintf(to, "version %d: in force\n", f.Version)
	case lo.EveryBy(f.Rules, func(r FaultRule) bool { return r.LeftS <= 0 }):
		fmt.Fprintf(to, "version %d: ended\n", f.Version)
	case len(f.Waits) > 0:
		fmt.Fprintf(to, "version %d: not in force, waits for %s\n", f.Version, strings.Join(f.Waits, ", "))
	default:
		fmt.Fprintf(to, "version %d: not in force yet\n", f.Version)
	}
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "RULE\tLEFT s\tBUDGET\tHANDED OUT\tSTRUCK")
	for _, r := range f.Rules {
		fmt.Fprintf(w, "%s\t%.1f\t%d\t%d\t%d\n", r.Name, r.LeftS, r.Budget, r.Given, r.Used)
	}
	return w.Flush()
}

// WriteStrikes prints strikes.
func WriteStrikes(to io.Writer, all []Strike) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "AT\tNODE\tRULE\tEFFECT\tTENANT\tROUTE\tMETHOD\tREQUEST\tOUTCOME")
	for _, s := range all {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", s.At.UTC().Format("15:04:05.000"), s.Node, s.Rule, s.Effect,
			s.Tenant, s.Route, s.Method, s.ID, s.Outcome)
	}
	return w.Flush()
}
