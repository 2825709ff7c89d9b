package systemsim

import (
	"os"
	"strings"
	"testing"
	"time"
)

// listed are the kinds that sites list; to those that days of this package don't draw belongs why.
var listed = map[string]string{
	"burst": "", "hot_tenant": "", "srv_crash": "", "srv_grey": "", "srv_lying_health": "", "srv_flap": "", "release": "",
	"replace_with_reuse": "", "scale_in": "", "answer_lost": "", "node_kill": "", "node_freeze": "", "roll_term": "", "herd_kill": "",
	"replace_core": "", "seed_turnover": "", "after_ack_kill": "", "after_ack_wipe": "", "disk_slow": "", "clock_step": "",
	"reset_conns": "", "core_cut": "", "node_cut": "", "config_change": "", "config_race": "", "config_storm": "", "bad_config": "",
	"revoke":    "",
	"srv_slow":  "a request takes no time at its server",
	"idle_race": "there are no connections to servers",
	"garble":    "an answer has no bytes",
}

// TestKinds: every kind that sites list is drawn on every deployment, and twice in one day, unless
// these days can't show it.
func TestKinds(t *testing.T) {
	t.Parallel()
	for _, on := range Deployments {
		drawn, twice := map[string]bool{}, false
		for seed := range uint64(300) {
			seen := map[string]int{}
			for _, line := range strings.Split(DrawAny(seed, on), "\n") {
				if name, ok := strings.CutPrefix(line, "# "); ok {
					seen[name]++
					kind, _, _ := strings.Cut(name, " ")
					drawn[kind] = true
					twice = twice || seen[name] > 1
				}
			}
		}
		for kind, why := range listed {
			if drawn[kind] != (why == "") {
				t.Errorf("%s: %s is drawn: %v, %s", on.Name, kind, drawn[kind], why)
			}
		}
		if !twice {
			t.Errorf("%s: no kind is drawn twice in a day", on.Name)
		}
	}
}

// TestAnyDays plays days of every deployment.
func TestAnyDays(t *testing.T) {
	t.Parallel()
	for i, on := range Deployments {
		t.Run(on.Name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(days) / 10 * uint64(4-i/2*3) / 4 {
				if s := PlayAny(seed, on); s.Broken != "" {
					t.Errorf("%v\n%s", s, s.Script)
				}
			}
		})
	}
}

// TestBudget: while a disk counts as lost, no more of the core are lost than the budget says.
func TestBudget(t *testing.T) {
	t.Parallel()
	for _, on := range Deployments {
		for seed := range uint64(200) {
			d := &day{drawer: drawer{rng: newWorld(seed, Sound, nil).rng}, on: on}
			var grave []span
			for range 12 {
				trial := &trials[d.rng.IntN(len(trials))]
				if trial.loses == 0 || trial.grave && trial.loses > on.Losses {
					continue
				}
				d.room(trial, d.upTo(time.Minute))
			}
			for _, s := range d.spans {
				if s.grave {
					grave = append(grave, s)
				}
			}
			for _, s := range grave {
				if n := d.most(s); n > on.Losses {
					t.Fatalf("%s, seed %d: %d lost while a disk is, of %d", on.Name, seed, n, on.Losses)
				}
			}
		}
	}
}

// TestSameAny: a day of any kinds is the same each time.
func TestSameAny(t *testing.T) {
	t.Parallel()
	for _, on := range Deployments[:2] {
		if a, b := PlayAny(3, on), PlayAny(3, on); a.Hash != b.Hash || a.Messages != b.Messages {
			t.Errorf("%s: %x and %x", on.Name, a.Hash, b.Hash)
		}
	}
}

// most is how many count as lost at once at some moment of a span.
func (d *day) most(s span) int {
	most := 0
	for _, at := range d.spans {
		if at.from < s.from || at.from >= s.to {
			at.from = s.from
		}
		n := 0
		for _, o := range d.spans {
			if o.from <= at.from && at.from < o.to {
				n += o.n
			}
		}
		most = max(most, n)
	}
	return most
}

// TestStuck: a core that can't go on is met: who starts then has no proof of contact and is never ready, and the put that
// ends a day is not taken.
func TestStuck(t *testing.T) {
	t.Parallel()
	text, err := os.ReadFile("testdata/stuck.script")
	if err != nil {
		t.Fatal(err)
	}
	s := Run(string(text), 1, Sound, nil)
	if s.Broken != "READY" && (s.Broken != "EXPECT" || s.Failing() != "no_quorum_within_budget") {
		t.Error("not met:", s)
	}
}
