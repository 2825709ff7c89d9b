package adminclient

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"

	"asterwell/internal/memberlist"
)

const faultsPath = "/api/faults"

// Faults is the status of the fault rules.
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

// FaultRule is the status of one rule.
type FaultRule struct {
	Name                string
	LeftS               float64
	Budget, Given, Used int
}

// Strike is the recorded effect of a fault rule on one request.
type Strike struct {
	At                                      time.Time
	AgoMs                                   int64 // by the monotonic clock, if the process still runs
	Rule, Effect, Tenant, Route, Method, ID string
	DelayMs                                 float64
	Node, Outcome                           string
	Life, Seq                               uint64 // identify the strike among those of the node
}

// PutFaults sends a set of fault rules. A set that was accepted before is acknowledged with the
// current status. The error is *Superseded if it has been stopped or replaced since.
func (c *Client) PutFaults(ctx context.Context, body []byte) (*Faults, *Answer, error) {
	f, a, err := c.faults(ctx, http.MethodPut, body)
	if err != nil {
		return nil, a, err
	}
	var sent struct{ Version uint32 }
	json.Unmarshal(body, &sent)
	if f.Version != sent.Version || f.Stopped {
		return f, a, &Superseded{Sent: sent.Version, Held: f.Version}
	}
	return f, a, nil
}

// Faults returns the fault rules and their status.
func (c *Client) Faults(ctx context.Context) (*Faults, *Answer, error) {
	return c.faults(ctx, http.MethodGet, nil)
}

// StopFaults stops the current set of fault rules.
func (c *Client) StopFaults(ctx context.Context) (*Faults, *Answer, error) {
	f, a, err := c.Faults(ctx)
	if err != nil || f.Version == 0 {
		return f, a, err
	}
	return c.StopFaultsOf(ctx, f.Version)
}

// StopFaultsOf stops the set of fault rules with this version and no other, even if the call is
// repeated or delayed. The error is *Superseded if another set has replaced it.
func (c *Client) StopFaultsOf(ctx context.Context, version uint32) (*Faults, *Answer, error) {
	f, a, err := c.faultsAt(ctx, http.MethodDelete, fmt.Sprint(faultsPath, "/", version), nil)
	if r := (*Refused)(nil); errors.As(err, &r) && r.Status == http.StatusNotFound && strings.HasPrefix(r.Why, "no such call") {
		f, a, err = c.faults(ctx, http.MethodDelete, nil) // a gateway of the previous software version
	}
	if err == nil && f.Version != version {
		return f, a, &Superseded{Sent: version, Held: f.Version}
	}
	return f, a, err
}

func (c *Client) faults(ctx context.Context, method string, body []byte) (*Faults, *Answer, error) {
	return c.faultsAt(ctx, method, faultsPath, body)
}

func (c *Client) faultsAt(ctx context.Context, method, path string, body []byte) (*Faults, *Answer, error) {
	a, err := c.call(ctx, method, path, body)
	if err != nil {
		return nil, nil, err
	}
	f := new(Faults)
	if err := json.Unmarshal(a.Body, f); err != nil {
		return nil, a, fmt.Errorf("%s: fault rules: %w", a.At, err)
	}
	return f, a, nil
}

// UnreachedError names the processes whose strikes could not be read, with the reason for each.
type UnreachedError struct{ Why map[string]error }

func (e *UnreachedError) Error() string {
	var all []string
	for _, name := range slices.Sorted(maps.Keys(e.Why)) {
		all = append(all, fmt.Sprintf("%s (%v)", name, e.Why[name]))
	}
	return "not heard: " + strings.Join(all, ", ")
}

// UnderWay is the outcome of a strike whose result is not known yet.
const UnderWay = "under way"

// AllStrikes collects the recorded strikes of all processes that the first one knows: live processes
// have their own in memory, members with a disk those of all. Duplicates are merged.
// If some processes fail, it returns an *UnreachedError with the strikes of the others.
func (c *Client) AllStrikes(ctx context.Context, to func(at string) *Client) ([]Strike, error) {
	s, _, err := c.Status(ctx)
	if err != nil {
		return nil, err
	}
	type key struct {
		node      string
		life, seq uint64
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	known, failed := map[key]Strike{}, map[string]error{}
	for _, n := range s.Nodes {
		if n.State == state(memberlist.Gone.String()) || n.Control == "" {
			continue
		}
		wg.Go(func() {
			some, err := to(n.Control).Strikes(ctx)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed[n.Name] = err
			}
			for _, s := range some {
				k := key{s.Node, s.Life, s.Seq}
				if old, ok := known[k]; !ok || old.Outcome == UnderWay || s.Node == n.Name && s.Outcome != UnderWay {
					known[k] = s // the node itself has the latest outcome
				}
			}
		})
	}
	wg.Wait()
	all := slices.SortedFunc(maps.Values(known), func(a, b Strike) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Seq, b.Seq))
	})
	if len(failed) > 0 {
		return all, &UnreachedError{failed}
	}
	return all, nil
}

// Strikes returns the strikes recorded at one gateway.
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

// Write prints the status of the rules.
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

// WriteStrikes prints a table of strikes.
func WriteStrikes(to io.Writer, all []Strike) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "AT\tNODE\tRULE\tEFFECT\tTENANT\tROUTE\tMETHOD\tREQUEST\tOUTCOME")
	for _, s := range all {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", s.At.UTC().Format("15:04:05.000"), s.Node, s.Rule, s.Effect,
			s.Tenant, s.Route, s.Method, s.ID, s.Outcome)
	}
	return w.Flush()
}
