package adminclient

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/samber/lo"

	"asterwell/internal/rollout"
)

// Rollout is the status of a configuration rollout.
type Rollout struct{ rollout.Status }

// Withdrawal is the result of withdrawing a version.
type Withdrawal struct{ Version, Outcome, Live, Newest string }

// Withdraw asks that a version that is not live yet never goes live. Its error is *OutcomeError if
// the version is live already, and *Overtaken if a higher one is stored.
func (c *Client) Withdraw(ctx context.Context, version string) (*Withdrawal, *Answer, error) {
	a, err := c.call(ctx, http.MethodDelete, "/api/rollout/"+version, nil)
	if err != nil {
		return nil, nil, err
	}
	w := new(Withdrawal)
	if err := json.Unmarshal(a.Body, w); err != nil {
		return nil, a, &ReadBackError{fmt.Errorf("%s: %w", a.At, err)}
	}
	switch w.Outcome {
	case "withdrawn":
		return w, a, nil
	case "live":
		return w, a, &OutcomeError{version, "live already, and stays so"}
	case "overtaken":
		return w, a, &Overtaken{Sent: version, Held: w.Newest, Kept: true}
	}
	return w, a, &ReadBackError{fmt.Errorf("%s does not tell how it ended", a.At)} // an older software version
}

// PrimaryControlAddress returns the control address of the primary, the only node that knows
// every node's progress. It is empty if the primary is unknown or answered itself.
func (s *Status) PrimaryControlAddress() string {
	n, _ := lo.Find(s.Nodes, func(n Node) bool { return n.Addr == s.Pact.Primary })
	if s.Rollout.Leads || n.Addr == s.Mesh {
		return ""
	}
	return n.Control
}

// Write prints the live version, the newest one if it differs, and the state of the nodes.
func (r *Rollout) Write(to io.Writer) error {
	fmt.Fprintf(to, "live %08x, taken up by %s\n", r.Live, r.Mode)
	if r.Newest != r.Live {
		fmt.Fprintf(to, "newest %08x, %s", r.Newest, r.Fate)
		if r.Why != "" {
			fmt.Fprintf(to, ": %s", r.Why)
		}
		if r.Stage != "" {
			fmt.Fprintf(to, "; %s for %.1f s, %s", r.Stage, float64(r.SinceMs)/1e3, lo.Ternary(r.Enough, "enough have confirmed",
				"too few have confirmed"))
		}
		if r.WithinMs > 0 && r.Stage != "" {
			fmt.Fprintf(to, ", withdrawn after %.1f s", float64(r.WithinMs)/1e3)
		}
		fmt.Fprintln(to)
	}
	if r.Mode != "together" {
		return nil
	}
	if !r.Leads {
		_, err := fmt.Fprintf(to, "here: %s; the primary is not known, and only it knows the nodes\n", r.Here)
		return err
	}
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	row := func(what string, names []string) {
		if len(names) > 0 {
			fmt.Fprintf(w, "%s\t%d\t%s\n", what, len(names), strings.Join(names, " "))
		}
	}
	row("prepared", r.Prepared)
	row("said nothing yet", r.Missing)
	for _, n := range r.Refused {
		fmt.Fprintf(w, "refused\t1\t%s: %s\n", n.Name, n.Why)
	}
	row("without a lease", r.Lapsed)
	return w.Flush()
}
