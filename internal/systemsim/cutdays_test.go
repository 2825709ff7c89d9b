package systemsim

import (
	"strings"
	"testing"
)

// TestCutDays: drawn days of long cuts keep all rules.
func TestCutDays(t *testing.T) {
	t.Parallel()
	side(days/4, func(i int) {
		seed := uint64(i) + 1
		if s := Run(DrawCut(seed), seed, Sound, nil); s.Broken != "" {
			t.Errorf("%v\n%s", s, s.Script)
		}
	})
}

// TestControlGuards: each guard that is taken out is missed by a scenario, at any seed.
func TestControlGuards(t *testing.T) {
	t.Parallel()
	for bug, by := range map[Bug]struct{ script, rules string }{
		Unread:    {"thaw", "CONTACT STALE LOST"},
		Unvouched: {"gateway", "PROMISE"},
		Straight:  {"deaf", "EXPECT"},
		Unmet:     {"restart", "READY"},
		Unfenced:  {"late", "EXPECT"},
	} {
		t.Run(bug.String(), func(t *testing.T) {
			t.Parallel()
			text, ok := ControlScripts()[by.script]
			if !ok {
				t.Fatal("no scenario", by.script)
			}
			for seed := range uint64(3) {
				if s := Run(text, seed, bug, nil); !strings.Contains(by.rules, s.Broken) || s.Broken == "" {
					t.Errorf("not met by %s: %v", by.rules, s)
				}
			}
		})
	}
}
