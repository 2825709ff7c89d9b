package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"asterwell/internal/adminclient"
	"asterwell/internal/faultrules"
	"asterwell/internal/faultrules/world"
)

// FaultOptions are what the measurement of fault rules is told.
type FaultOptions struct {
	Binary   string // loom
	Seed     uint64
	Nodes    int
	Pairs    int // of spans with and without a rule
	Days     int // of simulated time
	Progress func(string)
}

// The exercise.
const (
	faultBudget = 100
	faultShare  = 0.3
	faultLoad   = 6 * time.Second  // of the traffic of an exercise
	mostTime    = 75 * time.Second // for all exercises, and for each pair of spans besides
	pairTime    = 3 * time.Second
	faultGap    = 20 * time.Millisecond
	tries       = 3
)

// MeasureFaults lets fault rules strike one tenant at real processes, with others beside it,
// and plays days of drawn troubles in simulated time.
func MeasureFaults(o FaultOptions) (*Report, error) {
	r := &Report{Name: "faults", Seed: o.Seed, Figure: map[string]any{}}
	f, err := newFaultFleet(o.Binary, o.Nodes, "")
	if err != nil {
		return nil, err
	}
	defer f.end()
	ctx, stop := context.WithTimeout(context.Background(), mostTime+time.Duration(o.Pairs)*pairTime)
	defer stop()
	o.Progress(fmt.Sprintf("%d processes start", o.Nodes))
	if err := f.up(ctx); err != nil {
		return nil, fmt.Errorf("%w; the processes say:\n%s", err, f.said())
	}
	o.Progress("a renomination and a deferral at each, in one pipeline with others'")
	if err := f.each(ctx, r); err != nil {
		return nil, err
	}
	o.Progress("one budget for all")
	for try := 1; ; try++ { // a machine so busy that processes miss each other's beats shows nothing
		epoch, broken := f.epoch(ctx), len(r.Broken)
		if err := f.doubles(ctx, r); err != nil {
			return nil, err
		}
		if try == tries || f.epoch(ctx) == epoch {
			r.Figure["tries"] = try
			break
		}
		o.Progress("the machine is too busy, another primary came: once more")
		r.Rows, r.Broken = nil, r.Broken[:broken]
	}
	o.Progress("a stop while one process stands still; an end; the primary is killed; another is; a key is passed on")
	for _, part := range []func(context.Context, *Report) error{f.stops, f.ends, f.loses, f.dies, f.passes} {
		if err := part(ctx, r); err != nil {
			return nil, err
		}
	}
	o.Progress(fmt.Sprintf("%d pairs of spans with a rule and without", o.Pairs))
	if err := f.beside(ctx, r, o.Pairs); err != nil {
		return nil, err
	}
	o.Progress(fmt.Sprintf("%d days of simulated time", o.Days))
	faultDays(o, r)
	return r, nil
}

// each: a doubled renomination and a doubled deferral of one tenant at each process, with another
// tenant's before, between and behind them.
func (f *faultFleet) each(ctx context.Context, r *Report) error {
	rules := make([]faultrules.Rule, 0, 2)
	for _, route := range []string{"renominate", "defer"} {
		rules = append(rules, faultrules.Rule{Name: "each-" + route, Tenant: faultStruck, Routes: []string{route}, Share: 1, Effect: faultrules.Double,
			MostPerS: 1000, EndsS: 120, Budget: len(f.nodes)})
	}
	if err := f.put(ctx, rules...); err != nil {
		return err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	doubled, beside, wrong := map[string]int{}, 0, 0
	var ids []string
	for _, n := range f.nodes {
		wg.Go(func() {
			words := []word{{"key-other", "renominate", "each-o1-" + n.name}, {"key-struck", "renominate", "each-r-" + n.name},
				{"key-other", "defer", "each-o2-" + n.name}, {"key-struck", "defer", "each-d-" + n.name}, {"key-other", "renominate", "each-o3-" + n.name}}
			for i, h := range f.linesOf(n, "each", 1)[0].say(words...) {
				mu.Lock()
				if h.status != 200 {
					wrong++
				}
				if words[i].key == "key-struck" {
					ids = append(ids, words[i].id)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	f.settle(func() bool { return lo.EveryBy(ids, func(id string) bool { return f.servers.ran(id) == 2 }) })
	for _, id := range ids {
		switch runs := f.servers.ran(id); {
		case runs == 2:
			doubled[id[:len("each-r")]]++
		case runs > 2:
			wrong++
		}
	}
	beside = f.servers.twice(faultOthers)
	r.Figure["each_doubled"] = map[string]int{"renominate": doubled["each-r"], "defer": doubled["each-d"]}
	for what, n := range doubled {
		r.Rule(n == len(f.nodes), "%s: doubled at %d of %d processes", what, n, len(f.nodes))
	}
	r.Rule(len(doubled) == 2 && wrong == 0 && beside == 0, "at each process: %v doubled, %d wrong, %d of others' doubled", doubled, wrong, beside)
	return nil
}

// settle waits for what comes after answers, two seconds at the most.
func (f *faultFleet) settle(done func() bool) {
	for end := time.Now().Add(2 * time.Second); !done() && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
}

// doubles: one rule that doubles, at all processes at once, until its budget is used up. Each
// request shares a connection and a pipeline with one of another tenant.
func (f *faultFleet) doubles(ctx context.Context, r *Report) error {
	f.run++
	rule := faultrules.Rule{Name: fmt.Sprint("twice-", f.run), Tenant: faultStruck, Routes: []string{"renominate"}, Share: faultShare, Effect: faultrules.Double,
		MostPerS: 1000, EndsS: 120, Budget: faultBudget}
	if err := f.put(ctx, rule); err != nil {
		return err
	}
	mine := func(s sentOne, _ int) bool { return s.key == "key-struck" }
	all := f.pace(faultLoad, faultGap, "double", 4, "key-other", "key-struck")
	sent, beside := lo.Filter(all, mine), loadOf(lo.Reject(all, mine))
	var outcomes map[string]int
	var err error
	f.settle(func() bool {
		outcomes, err = f.outcomes(ctx, rule.Name)
		return err == nil && lo.Sum(lo.Values(outcomes)) >= faultBudget && outcomes[adminclient.UnderWay] == 0
	})
	if err != nil {
		return err
	}
	doubled, missed, other, drawnOut := map[string]int{}, 0, 0, 0
	for _, s := range sent {
		runs := f.servers.ran(s.id)
		switch {
		case runs > 1 && !rule.Draws(s.id) || runs > 2:
			other++
		case runs == 2:
			doubled[s.node]++
			drawnOut++
		case rule.Draws(s.id) && s.status == 200:
			missed++
		}
	}
	// once the budget is used up, drawn ones go free
	drawn := lo.CountBy(sent, func(s sentOne) bool { return rule.Draws(s.id) })
	if free := drawn - faultBudget; free > 0 {
		missed = max(0, missed-free)
	}
	r.Row("node", "struck")
	for _, p := range f.nodes {
		r.Row(p.name, doubled[p.name])
		r.Rule(len(f.nodes) > 10 || doubled[p.name] > 0, "%s struck nobody", p.name) // of a hundred, few fall to each of many
	}
	struck := f.servers.twice(faultOthers)
	recorded := outcomes["ran twice"]
	strikes := lo.Sum(lo.Values(outcomes))
	r.Figure["outcomes"] = outcomes
	r.Figure["strikes"], r.Figure["missed"], r.Figure["others_struck"] = strikes, missed, struck
	r.Figure["over_budget"] = max(0, strikes-faultBudget)
	r.Figure["unrecorded"] = max(0, drawnOut-recorded)
	r.Figure["others_in_one_pipeline"] = []int{beside.sent, beside.ok}
	r.Rule(strikes == faultBudget, "%d strikes of a budget of %d, with %d drawn", strikes, faultBudget, drawn)
	r.Rule(struck == 0 && other == 0, "%d of others' requests ran twice, %d without being drawn", struck, other)
	r.Rule(missed == 0, "%d drawn requests were not struck while there was a budget", missed)
	r.Rule(recorded >= drawnOut, "%d ran twice, %d on record", drawnOut, recorded)
	r.Rule(beside.served() > 0.99, "others were served %.4f in pipelines with those struck", beside.served())
	return nil
}

// stops: all requests vanish; a process stands still while the rules are stopped, and goes on.
func (f *faultFleet) stops(ctx context.Context, r *Report) error {
	if err := f.put(ctx, faultrules.Rule{Name: "gone", Tenant: faultStruck, Share: 1, Effect: faultrules.VanishBefore, EndsS: 60, Budget: 100000}); err != nil {
		return err
	}
	var sent []sentOne
	var wg sync.WaitGroup
	wg.Go(func() { sent = f.struck(4*time.Second, "stop") })
	time.Sleep(time.Second)
	last := f.nodes[len(f.nodes)-1]
	last.freeze()
	_, _, err := f.client().StopFaults(ctx)
	acked := time.Now()
	time.Sleep(500 * time.Millisecond)
	last.thaw()
	wg.Wait()
	if err != nil {
		return err
	}
	struck, after, latest := 0, 0, time.Duration(0)
	for _, s := range sent {
		if s.status == 504 && f.servers.ran(s.id) == 0 {
			struck++
			if s.at.After(acked) {
				after++
				latest = max(latest, s.at.Sub(acked))
			}
		}
	}
	r.Figure["vanished"], r.Figure["after_stop"], r.Figure["after_stop_ms_max"] = struck, after, latest.Milliseconds()
	r.Rule(struck > 10, "hardly anything vanished: %d", struck)
	r.Rule(latest <= faultrules.LeaseFor+100*time.Millisecond, "struck %v after the stop", latest)
	return nil
}

// ends: a rule that ends by itself.
func (f *faultFleet) ends(ctx context.Context, r *Report) error {
	rule := faultrules.Rule{Name: "late", Tenant: faultStruck, Share: 1, Effect: faultrules.Delay, DelayMs: 150, EndsS: 4, Budget: 100000}
	if err := f.put(ctx, rule); err != nil {
		return err
	}
	end := f.acked.Add(rule.Ends())
	sent := f.struck(time.Until(end)+2*time.Second, "end")
	all, err := f.strikes(ctx, "late")
	if err != nil {
		return err
	}
	at := map[string]time.Time{}
	for _, s := range sent {
		at[s.id] = s.at
	}
	late := 0
	for _, s := range all {
		if began, ok := at[s.ID]; ok && began.After(end) {
			late++
		}
	}
	r.Figure["after_end"], r.Figure["delayed"] = late, len(all)
	r.Rule(late == 0, "%d strikes after the end", late)
	r.Rule(len(all) > 10, "hardly anything was delayed: %d", len(all))
	return nil
}

// spare: what the check costs a request while there are no rules, of what requests cost.
func (f *faultFleet) spare(r *Report, cpu float64, requests int) {
	j, n, on := faultrules.NewJudge(), 50_000_000, 0
	began := time.Now()
	for range n {
		if j.On() {
			on++
		}
	}
	each := time.Since(began).Seconds() / float64(n)
	share := each / max(cpu/float64(max(requests, 1)), 1e-9)
	r.Figure["cpu_share_with_none_set"] = share
	r.Rule(on == 0 && share < 0.01, "the check takes %.3f of a request's time", share)
}

// faultDays plays simulated days.
func faultDays(o FaultOptions, r *Report) {
	worlds := make([]*world.World, o.Days)
	var wg sync.WaitGroup
	slots := make(chan struct{}, 4)
	for i := range worlds {
		wg.Go(func() {
			slots <- struct{}{}
			worlds[i] = world.Play(o.Seed*100000+uint64(i), faultrules.NoBug)
			<-slots
		})
	}
	wg.Wait()
	strikes, missed, stop := 0, 0, time.Duration(0)
	for i, w := range worlds {
		strikes, missed, stop = strikes+w.Strikes, missed+w.Missed, max(stop, w.AfterStop)
		r.Rule(w.Broken == "", "simulated day %d: %s at %v: %s", o.Seed*100000+uint64(i), w.Broken, w.At, w.Detail)
	}
	r.Figure["simulated"] = map[string]any{"days": o.Days, "strikes": strikes, "missed": missed, "after_stop_ms_max": stop.Milliseconds()}
}

// put sends a set, and waits until it is in force.
func (f *faultFleet) put(ctx context.Context, rules ...faultrules.Rule) error {
	f.version++
	body, err := json.Marshal(faultrules.Set{Version: f.version, By: "asterlab", Why: "measure faults", Rules: rules})
	if err != nil {
		return err
	}
	f.acked = time.Now() // at the latest: an end counts from before the acknowledgement
	if _, _, err := f.client().PutFaults(ctx, body); err != nil {
		return err
	}
	f.acked = time.Now()
	for {
		state, _, err := f.client().Faults(ctx)
		if err == nil && state.Active && state.Version == f.version {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("rule %s is not in force: %+v, %v", rules[0].Name, state, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// epoch is agreement's; 0: nobody says.
func (f *faultFleet) epoch(ctx context.Context) uint64 {
	s, _, err := f.client().Status(ctx)
	if err != nil {
		return 0
	}
	return s.Pact.Epoch
}

// strikes are what is on record of a rule.
func (f *faultFleet) strikes(ctx context.Context, rule string) ([]adminclient.Strike, error) {
	all, err := f.client().AllStrikes(ctx, func(at string) *adminclient.Client { return adminclient.New([]string{at}, 5*time.Second) })
	return lo.Filter(all, func(s adminclient.Strike, _ int) bool { return s.Rule == rule }), err
}

// outcomes counts what became of those that a rule struck. What was not made is no strike.
func (f *faultFleet) outcomes(ctx context.Context, rule string) (map[string]int, error) {
	all, err := f.strikes(ctx, rule)
	n := map[string]int{}
	for _, s := range all {
		if !strings.HasPrefix(s.Outcome, "not ") {
			n[s.Outcome]++
		}
	}
	return n, err
}
