package systemsim

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// recorded is a drawn day that once broke a rule, with the seed that it was played with.
type recorded struct {
	name, script string
	seed         uint64
}

// recordedDays reads the scripts whose names begin so; the first line of each says its seed.
func recordedDays(t *testing.T, prefix string) (all []recorded) {
	t.Helper()
	files, err := filepath.Glob("testdata/contact/" + prefix + "*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no recorded days %s: %v", prefix, err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		day := recorded{name: strings.TrimSuffix(filepath.Base(file), ".txt"), script: string(text)}
		if _, err := fmt.Sscanf(day.script, "# seed %d:", &day.seed); err != nil {
			t.Fatalf("%s: no seed in the first line: %v", file, err)
		}
		all = append(all, day)
	}
	return all
}

// A machine was cut off from all others twice at once. The end of the first cut joined its links although the
// second one went on, so the simulation counted it as out of reach while its messages came through:
// "core2 calls itself ready, and has had no way to most of the core since it was started". The process was right.
func TestOverlappingCuts(t *testing.T) {
	t.Parallel()
	playRecorded(t, "ready-")
	w := newWorld(1, Sound, nil)
	a, b := w.add("a", "z", false, true), w.add("b", "z", false, true)
	first, second := &cut{}, &cut{}
	w.sever(first, a, b)
	w.darken(second, a)
	w.rejoin(first, a, b)
	if !w.severed(a.addr, b.addr) || !a.dark() {
		t.Error("the end of one cut ends another")
	}
	w.lighten(second, a)
	if w.apart(a, b) || a.dark() {
		t.Error("still cut after the last has ended")
	}
}
