package bench

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestReportControl: points add up, what nobody judged is missing, and what broke, or a mutant that
// nobody met, breaks the report.
func TestReportControl(t *testing.T) {
	sound := ControlPoint{Name: "one", Days: 10, Broken: map[string]int{"led_old": 0}, Worst: map[string]float64{"healed_s_max": 0.5},
		Mutants: 2, Found: 2, Apart: map[string]int{"QUOTA": 1}}
	r := reportControl(7, []ControlPoint{sound, {Name: "two", Days: 5, Broken: map[string]int{"led_old": 0, "two_texts": 0},
		Worst: map[string]float64{"healed_s_max": 1.25}, Mutants: 1, Found: 1}})
	if len(r.Broken) != 0 || r.Figure["days"] != 15 || r.Figure["mutants"] != 3 || r.Figure["mutants_found"] != 3 ||
		r.Figure["healed_s_max"] != 1.25 || r.Figure["led_old"] != 0 || r.Figure["two_texts"] != 0 {
		t.Error(r.Broken, r.Figure)
	}
	if _, is := r.Figure["sent_twice"]; is || !slices.Contains(r.Figure["not_judged"].([]string), "sent_twice") {
		t.Error("what nobody judged counts as judged:", r.Figure)
	}
	broken, unmet, silent := sound, sound, sound
	broken.Lines = []string{"seed 3: gone back"}
	broken.Broken = map[string]int{"led_old": 1}
	unmet.Found = 1
	silent.Broken = map[string]int{"led_old": 2}
	for _, p := range []ControlPoint{broken, unmet, silent} {
		r := reportControl(7, []ControlPoint{sound, p})
		if len(r.Broken) != 1 || !strings.HasPrefix(r.Broken[0], "one: ") {
			t.Error(p, r.Broken)
		}
	}
	if _, err := MeasureControl(ControlOptions{Only: []string{"none"}}); err == nil {
		t.Error("a point that is not there is taken")
	}
}

// TestControlDays: drawn days of any kinds break nothing, and every fault put in is met.
func TestControlDays(t *testing.T) {
	t.Parallel()
	p, err := controlDays(4, 1)
	if err != nil || len(p.Lines) > 0 || p.Found != p.Mutants || p.Mutants == 0 {
		t.Error(err, p)
	}
}

// TestPieces: no more is played at once than there is room for, whichever point it is of, and what is under way is told.
func TestPieces(t *testing.T) {
	room := make(chan struct{}, 2)
	pieces.room.Store(&room)
	defer pieces.room.Store(nil)
	var now, most, all atomic.Int64
	play := func() {
		most.Store(max(most.Load(), now.Add(1)))
		time.Sleep(time.Millisecond)
		now.Add(-1)
		all.Add(1)
	}
	var wg sync.WaitGroup
	wg.Go(func() { side(20, 8, func(int) { play() }) })
	wg.Go(func() { beside(20, func(int) bool { play(); return true }) })
	wg.Wait()
	if most.Load() > 2 || all.Load() != 40 {
		t.Errorf("%d of 40 played, %d at once", all.Load(), most.Load())
	}
	var told []string
	p := &progress{begun: time.Now(), say: func(text string) { told = append(told, text) }}
	p.begin("seats")
	p.end(ControlPoint{Days: 7, Mutants: 2, Found: 1}, "seats", time.Second)
	if len(p.under) != 0 || len(told) != 1 || !strings.Contains(told[0], "seats: 7 days in 1s") || !strings.Contains(told[0], "1 of 2 mutants") {
		t.Error(p.under, told)
	}
}
