package serverset

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"asterwell/choice"
)

var options = Options{RemovedHold: time.Minute, DrainFor: 10 * time.Second, TrustFor: 5 * time.Minute, TierJoinBelow: 0.7,
	TierLeaveAbove: 0.9, TierLeaveHold: 10 * time.Second, DeadAfterFailures: 3}

// world is a set and the core's view of it.
type world struct {
	*Set
	now  time.Duration
	core map[uint32]Change
}

func newWorld(opt Options) *world {
	return &world{Set: New(opt), now: 1000 * time.Second, core: map[uint32]Change{}}
}

// advance lets time pass, and updates the core's view.
func (w *world) advance(d time.Duration) {
	for end := w.now + d; ; {
		at, ok := w.NextTick()
		if !ok || at > end {
			w.now = end
			break
		}
		w.now = max(w.now, at)
		w.Tick(w.now)
		w.syncCore()
	}
	w.syncCore()
}

func (w *world) syncCore() {
	for _, c := range w.TakeChanges(w.now) {
		if c.State == choice.Down {
			delete(w.core, c.ID)
		} else {
			w.core[c.ID] = c
		}
	}
}

// view returns what the core may use, ordered by address: "addr", with "!" if it counts as just
// started, and "~" if it drains.
func (w *world) view() string {
	var s []string
	for _, c := range w.core {
		text := c.Addr
		if c.State == choice.Draining {
			text += "~"
		} else if c.Started > 0 {
			text += "!"
		}
		s = append(s, text)
	}
	slices.Sort(s)
	return strings.Join(s, " ")
}

// parseTarget parses "name=addr,addr/priority".
func parseTarget(text string) Target {
	name, rest, _ := strings.Cut(text, "=")
	addrs, priority, _ := strings.Cut(rest, "/")
	t := Target{Name: name, Port: 1, Weight: 1}
	fmt.Sscan(priority, &t.Priority)
	if addrs != "" {
		t.Addrs = strings.Split(addrs, ",")
	}
	return t
}

// step executes one line: a report of a source, or an event.
func (w *world) step(line string) {
	words := strings.Fields(line)
	switch verb, args := words[0], words[1:]; verb {
	case "srv", "srv2", "none":
		name := "a."
		if verb == "srv2" {
			name = "b."
		}
		var list []Target
		for _, a := range args {
			list = append(list, parseTarget(a))
		}
		w.ApplySRV(w.now, name, list, verb == "none")
	case "list", "news", "saved": // id=addr, with ~ for draining, - for removed
		var nodes []ListEntry
		for _, a := range args {
			id, addr, _ := strings.Cut(a, "=")
			l := ListEntry{Name: id, Addr: strings.TrimRight(addr, "~-"), Member: choice.Member{Weight: 1, Zone: "z"}}
			if strings.HasSuffix(a, "~") {
				l.State = choice.Draining
			} else if strings.HasSuffix(a, "-") {
				l.State = choice.Down
			}
			nodes = append(nodes, l)
		}
		w.ApplyList(w.now, nodes, verb != "news", verb == "saved")
	case "fail", "refuse", "ok": // address, times
		n := 1
		if len(args) > 1 {
			fmt.Sscan(args[1], &n)
		}
		for range n {
			for _, c := range w.core {
				if c.Addr == args[0] {
					w.RecordOutcome(w.now, c.ID, verb == "ok", verb == "refuse")
				}
			}
			w.syncCore()
		}
	case "stale":
		w.SourceStale(w.now, "a.")
	case "lost":
		w.SourceLost(w.now, "a.")
	case "drop":
		w.DropSource(w.now, "a.")
	case "broken":
		w.ListUnreachable(w.now)
	case "heard":
		w.ListReachable(w.now)
	case "wait":
		d, err := time.ParseDuration(args[0])
		if err != nil {
			panic(err)
		}
		w.advance(d)
	default:
		panic(line)
	}
	w.syncCore()
}

// TestRule checks the merge rule. Each script has lines, and after "->" what the core may use
// then.
func TestRule(t *testing.T) {
	for name, script := range map[string]string{
		"only SRV, first answer":               `srv a=1 b=2 -> 1 2`,
		"only SRV, later answer":               `srv a=1; srv a=1 b=2 -> 1 2!`,
		"only the list":                        `list s=1 t=2~ -> 1`,
		"list and SRV name one server":         `list s=1; srv a=1 -> 1`,
		"the same, SRV first":                  `srv a=1; list s=1 -> 1; ; news s=1~ -> 1~`,
		"the list drains, SRV repeats":         `srv a=1 b=2; list s=1 t=2; news s=1~ -> 1~ 2; srv a=1 b=2; srv a=1 b=2 -> 1~ 2; wait 1h; srv a=1 b=2 -> 2`,
		"the list drains what SRV says first":  `srv a=1; list s=1~ -> 1~`,
		"drained, then up again":               `srv a=1; list s=1~; news s=1 -> 1`,
		"the list removes, SRV repeats":        `srv a=1 b=2; list s=1; news s=1- -> 2; srv a=1 b=2 -> 2; wait 1h; srv a=1 b=2 -> 2`,
		"left out of a whole list":             `srv a=1 b=2; list s=1 t=2; list t=2 -> 2; srv a=1 b=2 -> 2`,
		"removed, and named again":             `srv a=1; list s=1; news s=1- ->; news u=1 -> 1`,
		"removed, gone from SRV, back at once": `srv a=1 b=2; list s=1; news s=1-; srv b=2; srv a=1 b=2 -> 2`,
		"removed, gone from SRV for long":      `srv a=1 b=2; list s=1; news s=1-; srv b=2; wait 2m; srv a=1 b=2 -> 1! 2`,
		"removed before SRV names it":          `list s=1; news s=1-; srv a=1 -> ; wait 2m ->`,
		"removed long before SRV names it":     `list s=1; news s=1-; wait 2m; srv a=1 -> 1`,
		"saved, then not on the list":          `saved s=1 t=2; srv a=1 -> 1 2; list t=2 -> 2; srv a=1 -> 2`,
		"saved stands until the list speaks":   `saved s=1~; srv a=1 ->; list s=1 -> 1`,
		"saved after the list":                 `list s=1; saved t=2 -> 1`,
		"SRV withdraws":                        `srv a=1 b=2; srv b=2 -> 1~ 2; wait 11s -> 2`,
		"SRV withdraws what the list names":    `srv a=1 b=2; list s=1 t=2; srv b=2 -> 1~ 2; list s=1 t=2 -> 1~ 2; srv a=1 b=2 -> 1 2`,
		"listed, never named by SRV":           `list s=1 t=2; srv a=1; srv a=1 -> 1 2`,
		"authoritatively no service":           `srv a=1 b=2; list s=1; none -> 1 2~`,
		"SRV moves a target":                   `srv a=1; srv a=2 -> 1~ 2!; wait 11s -> 2!`,
		"an address moves to a new target":     `srv a=1; srv b=1 -> 1! 1~; wait 11s -> 1!`,
		"a second address, same server":        `srv a=1,2 -> 1; srv a=2,3 -> 2`,
		"another address after two refusals":   `srv a=1,2; refuse 1 -> 1; refuse 1 -> 2; refuse 2 2 -> 1`,
		"a drain applies to all addresses":     `srv a=1,2; list s=2~ -> 2~; list s=2 -> 2`,
		"a removal applies to all addresses":   `srv a=1,2; list s=2; news s=2- ->; srv a=1 ->`,
		"an address of two targets":            `srv a=1 b=1 -> 1; srv b=1 -> 1 1~`,
		"no address yet":                       `srv a= b=2 -> 2; srv a=1 b=2 -> 1 2`,
		"stale answers stay":                   `srv a=1; stale; wait 1h -> 1`,
		"lost without a list stays":            `srv a=1; lost; wait 1h -> 1`,
		"lost with a list":                     `list s=1; srv a=1 b=2; lost -> 1 2~`,
		"lost, then the list":                  `list s=1; broken; srv a=1 b=2; lost -> 1 2; heard -> 1 2~`,
		"dropped name":                         `list s=1; srv a=1 b=2; srv2 c=3; drop -> 1 2~ 3`,
		"two names, one target":                `srv a=1; srv2 a=1 b=2; drop -> 1 2`,
		"the list's id moves":                  `list s=1; news s=2 -> 2`,
		"the list's address gets a new id":     `list s=1; news s=1- t=1 -> 1; news s=1- -> 1`,
		"new id before the old one goes":       `list s=1; news t=1; news s=1- -> 1`,
		"lower tier only where needed":         `srv a=1/0 b=2/0 c=3/1 -> 1 2`,
		"the next tier joins":                  `srv a=1/0 b=2/0 c=3/1; fail 1 2 -> 1 2; fail 1 -> 1 2 3`,
		"the next tier leaves":                 `srv a=1/0 b=2/0 c=3/1; fail 1 3; ok 1 -> 1 2 3; wait 9s -> 1 2 3; wait 2s -> 1 2 3~; wait 11s -> 1 2`,
		"the next tier stays while needed":     `srv a=1/0 b=2/0 c=3/1; fail 1 3; ok 1; wait 9s; fail 1 3; wait 9s; ok 1; wait 9s -> 1 2 3`,
		"a drained tier is not alive":          `srv a=1/0 b=2/0 c=3/1; list s=1~ t=2~ -> 1~ 2~ 3`,
		"a tier lost and back":                 `srv a=1/0 b=2/1; srv b=2/1 -> 1~ 2; srv a=1/0 b=2/1 -> 1! 1~ 2; wait 11s -> 1! 2~; wait 11s -> 1!`,
		"three tiers":                          `srv a=1/0 b=2/1 c=3/2; fail 1 3 -> 1 2; fail 2 3 -> 1 2 3`,
		"a priority changes":                   `srv a=1/0 b=2/0; srv a=1/0 b=2/1 -> 1 2~; wait 11s -> 1`,
		"all tiers dead":                       `srv a=1/0 b=2/1; fail 1 3; fail 2 3 -> 1 2`,
	} {
		w := newWorld(options)
		for _, part := range strings.Split(script, ";") {
			line, want, check := strings.Cut(part, "->")
			if line = strings.TrimSpace(line); line != "" {
				w.step(line)
			}
			if got := w.view(); check && got != strings.TrimSpace(want) {
				t.Errorf("%s: after %q: %q, want %q", name, line, got, strings.TrimSpace(want))
			}
		}
	}
}

// TestNumbers checks that a server named by SRV keeps its number once the list names it, so that
// the decision module keeps what it has learned. A server that has moved gets another number.
func TestNumbers(t *testing.T) {
	w := newWorld(options)
	w.step("srv a=1 b=2")
	before := coreByAddr(w)
	w.step("list s=1")
	after := coreByAddr(w)
	if before["1"].ID != after["1"].ID || after["1"].Name != "s" || after["1"].Zone != "z" {
		t.Error(before, after)
	}
	w.step("srv a=1 b=3")
	if moved := coreByAddr(w); moved["3"].ID == before["2"].ID || moved["3"].Name != before["2"].Name {
		t.Error("a moved server:", moved["3"], before["2"])
	}
}

func coreByAddr(w *world) map[string]Change {
	m := map[string]Change{}
	for _, c := range w.core {
		m[c.Addr] = c
	}
	return m
}

// TestNames checks that names of servers that only SRV names are equal everywhere and after
// restarts. Two targets with the same hash get different names, whichever comes first.
func TestNames(t *testing.T) {
	names := func(srv ...string) (s []string) {
		w := newWorld(options)
		for _, l := range srv {
			w.step(l)
		}
		for _, c := range w.core {
			s = append(s, c.Name)
		}
		slices.Sort(s)
		return s
	}
	if d := cmp.Diff(names("srv a=1 b=2"), names("srv b=7", "srv b=7 a=9")); d != "" {
		t.Error(d)
	}
	w := newWorld(options)
	w.hash = func(string) uint64 { return 7 }
	w.step("srv a=1 b=2 c=3")
	seen := map[string]bool{}
	for _, c := range w.core {
		seen[c.Name] = true
	}
	if len(seen) != 3 || len(w.core) != 3 {
		t.Error(seen)
	}
}

func TestTrusted(t *testing.T) {
	for name, c := range map[string]struct {
		opt    Options
		script string
		want   bool
	}{
		"both fresh":           {options, "list s=1;srv a=1;wait 1h", true},
		"list broken":          {options, "list s=1;srv a=1;broken;wait 1h", true},
		"SRV stale":            {options, "list s=1;srv a=1;stale;wait 1h", true},
		"both, a while":        {options, "list s=1;srv a=1;broken;stale;wait 4m", true},
		"both, too long":       {options, "list s=1;srv a=1;broken;stale;wait 6m", false},
		"one after the other":  {options, "list s=1;srv a=1;broken;wait 6m;stale;wait 4m", true},
		"and heard again":      {options, "list s=1;srv a=1;broken;stale;wait 6m;heard", true},
		"and answered again":   {options, "list s=1;srv a=1;broken;stale;wait 6m;srv a=1", true},
		"no list, SRV stale":   {Options{NoList: true, TrustFor: time.Minute}, "srv a=1;stale;wait 2m", false},
		"no list, nothing yet": {Options{NoList: true, TrustFor: time.Minute}, "wait 1s", false},
		"no list, SRV fresh":   {Options{NoList: true, TrustFor: time.Minute}, "srv a=1;wait 1h", true},
	} {
		w := newWorld(c.opt)
		for _, l := range strings.Split(c.script, ";") {
			w.step(l)
		}
		if got := w.Trusted(w.now); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func TestListOverridesSRV(t *testing.T) {
	opt := options
	opt.ListOverridesSRV = true
	w := newWorld(opt)
	for _, l := range []string{"list s=1", "srv a=1 b=2", "srv b=2"} {
		w.step(l)
	}
	if got := w.view(); got != "1 2" {
		t.Error(got)
	}
	w.Configure(w.now, options)
	if w.syncCore(); w.view() != "1~ 2" {
		t.Error(w.view())
	}
}

// TestSRVOnlyWhileListSilent guards against a gateway that starts after the list has removed a
// server, and takes it from DNS. While the list is unreachable, DNS is better than nothing.
func TestSRVOnlyWhileListSilent(t *testing.T) {
	opt := options
	opt.SRVOnlyWhileListSilent = true
	w := newWorld(opt)
	for _, c := range [][2]string{{"srv a=1 b=2", "1 2"}, {"list s=1", "1 2~"}, {"wait 11s", "1"}, {"srv a=1 b=2 c=3", "1"},
		{"broken", "1 2 3!"}, {"heard", "1 2~ 3~"}, {"news t=2", "1 2 3~"}, {"wait 11s", "1 2"}} {
		if w.step(c[0]); w.view() != c[1] {
			t.Errorf("after %q: %q, want %q", c[0], w.view(), c[1])
		}
	}
}

// TestOnlySavedList checks that OnlySavedList is true until a source has been heard.
func TestOnlySavedList(t *testing.T) {
	w := newWorld(options)
	w.step("saved s=1")
	before := w.OnlySavedList()
	w.step("srv a=1")
	if !before || w.OnlySavedList() {
		t.Error(before, w.OnlySavedList())
	}
}
