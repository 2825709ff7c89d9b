package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"asterwell/internal/adminclient"
)

// FrozenOptions of the measurement of a real primary that stands still, is followed, and is
// asked at the moment in which it goes on.
type FrozenOptions struct {
	Binary   string // loom
	For      []time.Duration
	Reads    int
	Progress func(text string)
}

// frozenCalls are asked of the one that stood still. Early ones wait in its sockets already.
var frozenCalls = []string{"GET /api/configuration", "GET /api/faults", "POST /api/drain/start", "PUT /api/members/toy-x", "DELETE /api/members/toy-y"}

const (
	frozenEarly = 300 * time.Millisecond // before it goes on
	frozenWaits = 3 * time.Second
)

// MeasureFrozen stops the primary's process for each of some times, changes the configuration
// and the fault rules at the others meanwhile, and judges what the stopped one answers.
func MeasureFrozen(o FrozenOptions) (*Report, error) {
	r := &Report{Name: "frozen", Figure: map[string]any{}}
	r.Row("stood still", "call", "answers", "newest", "503", "none in 3 s", "old", "4xx", "s to the last")
	f, err := newFaultFleet(o.Binary, 3, "")
	if err != nil {
		return nil, err
	}
	defer f.end()
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Minute)
	defer stop()
	if err := f.up(ctx); err != nil {
		return nil, fmt.Errorf("%w; the processes say:\n%s", err, f.said())
	}
	old, refused, epoch, healed := 0, 0, 1, 0.0
	for i, d := range o.For {
		o.Progress(fmt.Sprintf("the primary stands still for %v", d))
		x := &frozenRun{faultFleet: f, r: r, d: d, reads: o.Reads, rules: 2*i + 1}
		if err := x.play(ctx, &epoch); err != nil {
			return nil, fmt.Errorf("%w; the processes say:\n%s", err, f.said())
		}
		old, refused, healed = old+x.old, refused+x.refused, max(healed, x.healed.Seconds())
	}
	r.Rule(old == 0, "%d answers were old", old)
	r.Rule(refused == 0, "%d calls were refused for good", refused)
	r.Figure["stale_answers"], r.Figure["refused"], r.Figure["healed_s_max"] = old, refused, healed
	return r, nil
}

type frozenRun struct {
	*faultFleet
	r            *Report
	d            time.Duration
	reads, rules int

	epoch        string // the newest acknowledged
	turn         uint64
	old, refused int
	healed       time.Duration
}

// got is one answer.
type got struct {
	call, body string
	status     int // 0: none
	took       time.Duration
}

func (x *frozenRun) play(ctx context.Context, epoch *int) error {
	s, _, err := x.client().Status(ctx)
	if err != nil {
		return err
	}
	lead := x.byMesh(s.Pact.Primary)
	if lead == nil {
		return fmt.Errorf("no process is the primary: %+v", s.Pact)
	}
	rest := slices.DeleteFunc(slices.Clone(x.nodes), func(n *faultNode) bool { return n == lead })
	set := fmt.Sprintf(`{"Version":%d,"By":"lab","Why":"a primary that stands still","Rules":[{"Name":"late","Tenant":%q,"Share":0.1,
 "Effect":"vanish-before","EndsS":300,"Budget":10}]}`, x.rules, faultStruck)
	if _, _, err := x.client().PutFaults(ctx, []byte(set)); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	lead.freeze()
	thaw := time.Now().Add(x.d)
	if err := x.change(ctx, rest, epoch, thaw); err != nil {
		lead.thaw()
		return err
	}
	var all []got
	var mu sync.Mutex
	var wg sync.WaitGroup
	ask := func() {
		for _, call := range frozenCalls {
			n := x.reads
			if !strings.HasPrefix(call, "GET") {
				n = 1
			}
			for range n {
				wg.Go(func() {
					g := x.call(ctx, lead, call)
					mu.Lock()
					all = append(all, g)
					mu.Unlock()
				})
			}
		}
	}
	if x.d > 5*time.Second {
		time.Sleep(time.Until(thaw) - frozenEarly)
		ask()
	}
	time.Sleep(time.Until(thaw))
	lead.thaw()
	ask()
	wg.Wait()
	x.judge(all)
	return x.heals(ctx, lead, time.Now())
}

// change puts configurations and stops the rules at the others, as often as there is time.
func (x *frozenRun) change(ctx context.Context, rest []*faultNode, epoch *int, till time.Time) error {
	for first := true; first || time.Until(till) > 3*time.Second; first = false {
		*epoch++
		a, err := x.at(rest).Put(ctx, faultConfiguration(*epoch, "key-struck", "key-other"))
		if err != nil {
			return fmt.Errorf("put: %w (%+v)", err, a)
		}
		x.epoch = fmt.Sprintf("%08x", *epoch)
		if first {
			s, _, err := x.at(rest).StopFaults(ctx)
			if err != nil {
				return fmt.Errorf("stop: %w", err)
			}
			x.turn = s.Turn
		}
	}
	return nil
}

func (x *frozenRun) call(ctx context.Context, n *faultNode, call string) got {
	ctx, stop := context.WithTimeout(ctx, frozenWaits+frozenEarly)
	defer stop()
	method, path, _ := strings.Cut(call, " ")
	var body io.Reader
	if method == http.MethodPut {
		body = bytes.NewReader([]byte(`{"Endpoint":"127.0.0.1:9","SelfInfo":{"Backend":"toy","Epoch":"v1","Zone":"a","Capacity":1},
 "HealthState":{"Phase":"quiescing","Sequence":9}}`))
	}
	began := time.Now()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+n.control()+path, body)
	if err != nil {
		return got{call: call}
	}
	a, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
	if err != nil {
		return got{call: call}
	}
	defer a.Body.Close()
	text, _ := io.ReadAll(a.Body)
	return got{call, string(text), a.StatusCode, time.Since(began)}
}

func (x *frozenRun) judge(all []got) {
	for _, call := range frozenCalls {
		n, newest, busy, none, old, refused := 0, 0, 0, 0, 0, 0
		last := time.Duration(0)
		for _, g := range all {
			switch {
			case g.call != call:
				continue
			case g.status == 0:
				none++
			case g.status == http.StatusServiceUnavailable:
				busy++
			case g.status >= 400:
				refused++
			case x.isOld(g):
				old++
			default:
				newest++
			}
			n++
			last = max(last, g.took)
		}
		x.old, x.refused = x.old+old, x.refused+refused
		x.r.Row(x.d, call, n, newest, busy, none, old, refused, last.Seconds())
	}
}

// isOld tells whether a good answer is older than what was acknowledged before it was asked.
func (x *frozenRun) isOld(g got) bool {
	switch g.call {
	case frozenCalls[0]:
		var c struct{ Epoch string }
		return json.Unmarshal([]byte(g.body), &c) != nil || c.Epoch < x.epoch
	case frozenCalls[1]:
		var s struct {
			Turn    uint64
			Stopped bool
		}
		return json.Unmarshal([]byte(g.body), &s) != nil || s.Turn < x.turn || !s.Stopped
	}
	return false
}

// heals waits until the one that stood still has the newest version in force, and ends its drain.
func (x *frozenRun) heals(ctx context.Context, lead *faultNode, since time.Time) error {
	c := x.at([]*faultNode{lead})
	for {
		if s, _, err := c.Status(ctx); err == nil && s.Version == x.epoch {
			x.healed = time.Since(since)
			break
		}
		if ctx.Err() != nil || time.Since(since) > 20*time.Second {
			return fmt.Errorf("%s has not the newest version after %v", lead.name, time.Since(since))
		}
		time.Sleep(20 * time.Millisecond)
	}
	if _, err := c.Drain(ctx, false, false); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	return nil
}

// at calls some processes only.
func (x *frozenRun) at(of []*faultNode) *adminclient.Client {
	return adminclient.New(lo.Map(of, func(n *faultNode, _ int) string { return n.control() }), 10*time.Second)
}
