package adminclient

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"

	"asterwell/internal/adminapi"
)

// fetch reads a resource of the admin API from one gateway.
func fetch[T any](ctx context.Context, c *Client, what string) (*T, *Answer, error) {
	a, err := c.call(ctx, http.MethodGet, "/api/"+what, nil)
	if err != nil {
		return nil, nil, err
	}
	v := new(T)
	if err := json.Unmarshal(a.Body, v); err != nil {
		return nil, a, fmt.Errorf("%s: %s: %w", a.At, what, err)
	}
	return v, a, nil
}

// Members returns one gateway's view of all gateways.
func (c *Client) Members(ctx context.Context) (*adminapi.Members, *Answer, error) {
	return fetch[adminapi.Members](ctx, c, "members")
}

// Epochs returns the consensus epochs that one gateway has seen.
func (c *Client) Epochs(ctx context.Context) (*adminapi.Epochs, *Answer, error) {
	return fetch[adminapi.Epochs](ctx, c, "epochs")
}

// Quotas returns the basis of one gateway's quota decisions.
func (c *Client) Quotas(ctx context.Context) (*adminapi.Quotas, *Answer, error) {
	return fetch[adminapi.Quotas](ctx, c, "quotas")
}

// Services returns one gateway's view of all servers.
func (c *Client) Services(ctx context.Context) (*adminapi.Services, *Answer, error) {
	return fetch[adminapi.Services](ctx, c, "services")
}

const (
	maxHomes           = 64 // home gateways that are asked for heartbeat ages
	maxConcurrentCalls = 8
)

// FillHeartbeatAges asks the home gateways of servers, once each, for the age of those heartbeats
// that the answering gateway did not receive itself. It returns the homes that did not answer.
func FillHeartbeatAges(ctx context.Context, s *adminapi.Services, dial func(at []string, within time.Duration) *Client) (unanswered []string) {
	var homes []string
	for _, v := range s.Servers {
		if v.BeatS == nil && v.HomeAt != "" && !slices.Contains(homes, v.HomeAt) && len(homes) < maxHomes {
			homes = append(homes, v.HomeAt)
		}
	}
	var mu sync.Mutex
	beats := map[string]*float64{}
	for some := range slices.Chunk(homes, maxConcurrentCalls) {
		var all sync.WaitGroup
		for _, at := range some {
			all.Go(func() {
				answer, _, err := dial([]string{at}, 0).Services(ctx)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					unanswered = append(unanswered, at)
					return
				}
				for _, v := range answer.Servers {
					if v.HomeAt == at && v.BeatS != nil {
						beats[v.ID] = v.BeatS
					}
				}
			})
		}
		all.Wait()
	}
	for i, v := range s.Servers {
		s.Servers[i].BeatS = cmp.Or(v.BeatS, beats[v.ID])
	}
	slices.Sort(unanswered)
	return unanswered
}

// Drain makes the called gateway send clients elsewhere, or accept them again. Unless alone is set,
// the gateway refuses to drain if no other gateway could take its clients.
func (c *Client) Drain(ctx context.Context, on, alone bool) (*Answer, error) {
	what := lo.Ternary(on, lo.Ternary(alone, "start-alone", "start"), "stop")
	return c.call(ctx, http.MethodPost, "/api/drain/"+what, nil)
}

// WriteMembers prints the gateways, sorted by zone and name.
func WriteMembers(to io.Writer, m *adminapi.Members) error {
	fmt.Fprintf(to, "as %s sees it%s%s\n\n", m.Asked, lo.Ternary(m.Draining, "; it drains", ""), contactWarning(m.ContactS))
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tZONE\tCONTROL\tCORE\tSTATE\tFOR\tREADY\tHOLDS\tNEWS\tSTARTED\tWATCHED BY")
	slices.SortFunc(m.Gateways, func(a, b adminapi.Gateway) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name))
	})
	unwatched := false
	for _, g := range m.Gateways {
		news := formatDuration(g.NewsS)
		switch {
		case g.Addr == m.Mesh:
			news = "itself"
		case !g.Watched:
			news, unwatched = news+" *", true
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", g.Name, g.Zone, cmp.Or(g.Control, "-"), yesNo(g.Core), g.State, formatDuration(g.ForS),
			yesNo(g.Ready), g.Holds, news, formatTime(g.Started), cmp.Or(strings.Join(g.Watchers, " "), "-"))
	}
	if err := w.Flush(); err != nil || !unwatched {
		return err
	}
	_, err := fmt.Fprintln(to, "\n* not watched from here: only changes are heard of. Its watchers know whether it beats.")
	return err
}

// contactWarning returns a warning if the gateway is out of contact with a majority of the core,
// since its data may be stale.
func contactWarning(contact *float64) string {
	switch {
	case contact == nil || *contact >= 0 && *contact < 1:
		return ""
	case *contact < 0:
		return "; it has had NO CONTACT with most of the core since its start"
	}
	return fmt.Sprintf("; it has had NO CONTACT with most of the core for %s: what it shows may be as old", formatDuration(*contact))
}

// WriteServices prints the servers, grouped by service.
func WriteServices(to io.Writer, s *adminapi.Services) error {
	fmt.Fprintf(to, "as %s sees it%s\n\n", s.Asked, contactWarning(s.ContactS))
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tSERVER\tENDPOINT\tZONE\tPHASE\tWARM-UP LEFT\tLAST BEAT\tHOME")
	slices.SortStableFunc(s.Servers, func(a, b adminapi.Server) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID))
	})
	for _, v := range s.Servers {
		beat, warm := "unknown", "-"
		if v.BeatS != nil {
			beat = formatDuration(*v.BeatS)
		}
		if v.WarmLeftS > 0 {
			warm = formatDuration(v.WarmLeftS)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", v.Service, v.ID, v.Endpoint, v.Zone, v.Phase, warm, beat, cmp.Or(v.Home, "-"))
	}
	return w.Flush()
}

// WriteEpochs prints the roles of the core members in each epoch and what changed, newest first.
func WriteEpochs(to io.Writer, e *adminapi.Epochs) error {
	if len(e.Epochs) == 0 {
		_, err := fmt.Fprintf(to, "as %s sees it: no epoch; the core has not agreed, or can't be reached from there\n", e.Asked)
		return err
	}
	fmt.Fprintf(to, "as %s (%s) sees it%s\n\n", e.Asked, e.Role, contactWarning(e.ContactS))
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "KNOWN SINCE\tEPOCH\tPRIMARY\tBACKUP\tWITNESS\tWHAT CHANGED")
	for i := len(e.Epochs) - 1; i >= 0; i-- {
		now := e.Epochs[i]
		what := "first that it saw since its start"
		if i > 0 {
			what = describeChange(e.Epochs[i-1], now)
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\n", formatTime(now.At), now.Epoch, namesWithRole(now, "primary"), namesWithRole(now, "backup"), namesWithRole(now, "witness"), what)
	}
	return w.Flush()
}

// namesWithRole lists the core members with a role in an epoch.
func namesWithRole(e adminapi.Epoch, what string) string {
	names := lo.FilterMap(e.Seats, func(s adminapi.CoreMember, _ int) (string, bool) { return s.Name, s.Does == what })
	return cmp.Or(strings.Join(names, " "), "-")
}

// describeChange describes how the roles of an epoch differ from the previous one.
func describeChange(was, is adminapi.Epoch) string {
	byAddr := func(e adminapi.Epoch) map[string]adminapi.CoreMember {
		return lo.KeyBy(e.Seats, func(s adminapi.CoreMember) string { return s.Addr })
	}
	old, now := byAddr(was), byAddr(is)
	var words []string
	for _, s := range is.Seats {
		if o, ok := old[s.Addr]; !ok {
			words = append(words, s.Name+" is new, as "+s.Does)
		} else if o.Does != s.Does {
			words = append(words, s.Name+" "+o.Does+" → "+s.Does)
		}
	}
	for _, s := range was.Seats {
		if _, ok := now[s.Addr]; !ok {
			words = append(words, s.Name+" has lost its seat")
		}
	}
	return cmp.Or(strings.Join(words, ", "), "none: the same agreed anew")
}

func yesNo(is bool) string { return lo.Ternary(is, "yes", "no") }

func formatTime(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05Z") }

// formatDuration formats seconds with a unit that suits their size.
func formatDuration(s float64) string {
	switch {
	case s < 10:
		return fmt.Sprintf("%.1f s", s)
	case s < 120:
		return fmt.Sprintf("%.0f s", s)
	case s < 7200:
		return fmt.Sprintf("%.0f min", s/60)
	case s < 172800:
		return fmt.Sprintf("%.0f h", s/3600)
	}
	return fmt.Sprintf("%.0f d", s/86400)
}

// WriteQuotas prints the basis of one gateway's quota decisions.
func WriteQuotas(to io.Writer, q *adminapi.Quotas) error {
	fmt.Fprintf(to, "as %s sees it%s\n\n", q.Asked, contactWarning(q.ContactS))
	fmt.Fprintf(to, "reads %s, another one %d times, unanswered for %d ms\n", cmp.Or(q.Holder, "nobody"), q.HolderChanges, q.UnansweredMs)
	fmt.Fprintf(to, "shares for %d gateways, %d in touch\n", q.SharesFor, q.InTouch)
	fmt.Fprintf(to, "behind its holder in %d answers, by %.1f units at the most\n\n", q.BehindAnswers, q.BehindUnits)
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "BASIS\tPASSED\tREFUSED")
	for _, d := range q.Decided {
		fmt.Fprintf(w, "%s\t%d\t%d\n", d.Basis, d.Passed, d.Refused)
	}
	return w.Flush()
}
