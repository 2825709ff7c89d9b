package bench

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"asterwell/internal/adminclient"
	"asterwell/internal/faultrules"
	"asterwell/internal/memberlist"
)

// loses: the primary is killed while a budget is being used, and comes back. What it had been
// handed and had not used goes to the others.
func (f *faultFleet) loses(ctx context.Context, r *Report) error {
	if err := f.put(ctx, faultrules.Rule{Name: "part", Tenant: faultStruck, Share: 0.5,
		Effect: faultrules.VanishAfter, EndsS: 60, Budget: faultBudget}); err != nil {
		return err
	}
	var sent []sentOne
	var wg sync.WaitGroup
	wg.Go(func() { sent = f.struck(7*time.Second, "lose") })
	time.Sleep(150 * time.Millisecond)
	state, _, err := f.client().Faults(ctx)
	if err == nil {
		if p := f.byMesh(state.Primary); p != nil {
			p.kill()
			time.Sleep(1500 * time.Millisecond)
			err = f.start(p)
		}
	}
	wg.Wait()
	if err != nil {
		return err
	}
	recorded, outcomes, err := f.made(ctx, "part")
	if err != nil {
		return err
	}
	heard, unrecorded := 0, 0
	for _, s := range sent {
		if s.status == http.StatusGatewayTimeout && f.servers.ran(s.id) > 0 {
			if heard++; !recorded[s.id] {
				unrecorded++
			}
		}
	}
	r.Figure["strikes_with_the_primary_killed"], r.Figure["heard_with_the_primary_killed"] = len(recorded), heard
	r.Figure["outcomes_with_the_primary_killed"], r.Figure["unrecorded_with_the_primary_killed"] = outcomes, unrecorded
	r.Rule(len(recorded) == faultBudget, "%d strikes of %d when the primary was killed", len(recorded), faultBudget)
	r.Rule(heard <= faultBudget && unrecorded == 0, "%d of %d heard of when the primary was killed, %d of them not on record", heard,
		faultBudget, unrecorded)
	return nil
}

// deaths is how often a struck process is killed, at other moments each time.
const deaths = 3

// dies: a process without a disk is killed while its callers' requests are doubled. What ran twice
// there is on record elsewhere.
func (f *faultFleet) dies(ctx context.Context, r *Report) error {
	n := f.nodes[len(f.nodes)-1]
	twice, unrecorded := 0, 0
	for k := range deaths {
		rule := faultrules.Rule{Name: fmt.Sprint("dies-", k), Tenant: faultStruck, Share: 1,
			Effect: faultrules.Double, MostPerS: 1000, EndsS: 60, Budget: 1000}
		if err := f.put(ctx, rule); err != nil {
			return err
		}
		var mu sync.Mutex
		var wg sync.WaitGroup
		var ids []string
		for i, l := range f.linesOf(n, "dies", 4) {
			wg.Go(func() {
				for q := range 1000 {
					id := fmt.Sprintf("dies-%d-%d-%d", k, i, q)
					mu.Lock()
					ids = append(ids, id)
					mu.Unlock()
					if h := l.say(word{"key-struck", "renominate", id}); h[0].status == 0 {
						return // it is dead
					}
				}
			})
		}
		for end := time.Now().Add(3 * time.Second); f.servers.count("dies-"+fmt.Sprint(k)) < 2+k && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		n.kill()
		wg.Wait()
		if err := f.gone(ctx, n); err != nil {
			return err
		}
		recorded, _, err := f.made(ctx, rule.Name)
		if err != nil {
			return err
		}
		for _, id := range ids {
			if f.servers.ran(id) > 1 {
				if twice++; !recorded[id] {
					unrecorded++
				}
			}
		}
		if err := f.start(n); err != nil {
			return err
		}
		if err := f.back(ctx, n); err != nil {
			return err
		}
	}
	r.Figure["doubled_before_a_kill"], r.Figure["unrecorded_before_a_kill"] = twice, unrecorded
	r.Rule(twice >= deaths, "hardly anything was doubled before a kill: %d", twice)
	r.Rule(unrecorded == 0, "%d of %d doubled before a kill are not on record", unrecorded, twice)
	return nil
}

// passes: in the middle of a rule, a configuration passes the struck tenant's key on.
func (f *faultFleet) passes(ctx context.Context, r *Report) error {
	if err := f.put(ctx, faultrules.Rule{Name: "key", Tenant: faultStruck, Share: 1,
		Effect: faultrules.Double, MostPerS: 1000, EndsS: 60, Budget: 100000}); err != nil {
		return err
	}
	var wg sync.WaitGroup
	wg.Go(func() { f.struck(1500*time.Millisecond, "key") })
	time.Sleep(300 * time.Millisecond)
	if _, err := f.client().Put(ctx, faultConfiguration(2, "key-new", "key-struck")); err != nil {
		return err
	}
	wg.Wait()
	for _, n := range f.nodes {
		l := f.linesOf(n, "ask", 1)[0]
		there := func() bool {
			return l.say(word{"key-new", "defer", fmt.Sprint("there-", n.name, time.Now().UnixNano())})[0].status == http.StatusOK
		}
		for !there() {
			if ctx.Err() != nil {
				return fmt.Errorf("%s has not taken the configuration", n.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	before := f.servers.twice(faultOthers)
	all := f.pace(time.Second, faultGap, "passed", 2, "key-new", "key-struck")
	time.Sleep(500 * time.Millisecond)
	follows, passed := 0, f.servers.twice(faultOthers)-before
	for _, s := range all {
		if s.key == "key-new" && f.servers.ran(s.id) == 2 {
			follows++
		}
	}
	r.Figure["struck_with_the_new_key"], r.Figure["struck_with_the_passed_on_key"] = follows, passed
	r.Rule(follows > 10 && passed == 0, "%d struck with the tenant's new key, %d with the one passed on", follows, passed)
	if _, err := f.client().Put(ctx, faultConfiguration(3, "key-struck", "key-other")); err != nil {
		return err
	}
	time.Sleep(time.Second)
	return nil
}

// made are the requests on record as struck by a rule, whatever is known of what became of them.
func (f *faultFleet) made(ctx context.Context, rule string) (ids map[string]bool, outcomes map[string]int, err error) {
	all, err := f.strikes(ctx, rule)
	ids, outcomes = map[string]bool{}, map[string]int{}
	for _, s := range all {
		if !strings.HasPrefix(s.Outcome, "not ") {
			ids[s.ID] = true
			outcomes[s.Outcome]++
		}
	}
	if un := (*adminclient.UnreachedError)(nil); errors.As(err, &un) {
		err = nil // what only it had is missing, and that is told
	}
	return ids, outcomes, err
}

// gone waits until membership knows that a process is gone.
func (f *faultFleet) gone(ctx context.Context, n *faultNode) error {
	return f.until(ctx, n, "is still live", func(state string, _ bool) bool { return state == memberlist.Gone.String() })
}

// back waits until a process is there again.
func (f *faultFleet) back(ctx context.Context, n *faultNode) error {
	return f.until(ctx, n, "does not come back", func(state string, ready bool) bool { return state == memberlist.Up.String() && ready })
}

func (f *faultFleet) until(ctx context.Context, n *faultNode, why string, is func(state string, ready bool) bool) error {
	for ctx.Err() == nil {
		if s, _, err := f.client().Status(ctx); err == nil {
			for _, o := range s.Nodes {
				if o.Name == n.name && is(string(o.State), o.Ready) {
					return nil
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s %s", n.name, why)
}

// count is how many requests ran twice whose ids begin so.
func (c *counts) count(begin string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, runs := range c.by {
		if runs > 1 && strings.HasPrefix(id, begin) {
			n++
		}
	}
	return n
}
