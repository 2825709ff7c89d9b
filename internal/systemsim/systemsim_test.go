package systemsim

import (
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
)

// days is how many are drawn; the race detector makes each ten times as long.
var days = 100

func TestMain(m *testing.M) {
	debug.SetGCPercent(800)
	os.Exit(m.Run())
}

// TestScripts plays every script in testdata with a few seeds.
func TestScripts(t *testing.T) {
	t.Parallel()
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			for seed := range uint64(3) {
				if s := Run(string(text), seed, Sound, nil); s.Broken != "" {
					t.Error(s)
				}
			}
		})
	}
}

// side does so many jobs on several processors.
func side(jobs int, do func(i int)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, 8)
	for i := range jobs {
		slots <- struct{}{}
		wg.Go(func() { do(i); <-slots })
	}
	wg.Wait()
}

func TestDays(t *testing.T) {
	t.Parallel()
	side(days, func(i int) {
		if s := Play(uint64(i) + 1); s.Broken != "" {
			t.Errorf("%v\n%s", s, s.Script)
		}
	})
}

// TestSame: a day is the same each time.
func TestSame(t *testing.T) {
	t.Parallel()
	for seed := uint64(7); seed < 10; seed++ {
		if a, b := Play(seed), Play(seed); a.Hash != b.Hash || a.Messages != b.Messages {
			t.Errorf("seed %d: %x and %x", seed, a.Hash, b.Hash)
		}
	}
}

// TestBugs: each fault that is put in is found within few days, by its rule.
func TestBugs(t *testing.T) {
	t.Parallel()
	for bug, rules := range map[Bug]string{Early: "LED CONFIG LOST", Mute: "DRAIN", Twice: "SPARED"} {
		t.Run(bug.String(), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 40; seed++ {
				s := Run(Draw(seed), seed, bug, nil)
				if s.Broken != "" && strings.Contains(rules, s.Broken) {
					t.Log(s)
					return
				}
			}
			t.Error("not found by", rules)
		})
	}
}

// TestOrders: of each number one text, whatever is lost on the way and whoever leads; guards taken out are found.
func TestOrders(t *testing.T) {
	t.Parallel()
	calls := map[string]int{}
	var mu sync.Mutex
	side(12, func(i int) {
		seed := uint64(i)
		s := Run(DrawOrders(seed), seed, Sound, nil)
		if s.Broken != "" || len(s.Calls) < 200 {
			t.Errorf("%v, %d calls\n%s", s, len(s.Calls), s.Script)
		}
		mu.Lock()
		defer mu.Unlock()
		for _, c := range s.Calls {
			calls[c.End]++
		}
	})
	t.Log(calls)
	for _, end := range []string{Acked, Differed, Saw} {
		if calls[end] < 100 {
			t.Errorf("%d calls were %s", calls[end], end)
		}
	}
}
