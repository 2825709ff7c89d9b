package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"asterwell/internal/faultrules"
)

// Spans with and without the rule take turns, so that whatever else the machine does is in both.
const (
	spanLoad   = time.Second
	spanGap    = 40 * time.Millisecond // so that the machine isn't full
	spanSettle = 100 * time.Millisecond
	resamples  = 4000
	aimRatio   = 1.02
)

// ratios is a ratio of medians with the interval that 95 of 100 resamplings are in.
type ratios struct{ At, Low, High float64 }

func (r ratios) figure() []float64 { return []float64{r.At, r.Low, r.High} }

// paired is the ratio of the medians of two columns, resampled pair by pair.
func paired(pairs [][2]float64, seed uint64) ratios {
	rng := rand.New(rand.NewPCG(seed, 0xb007))
	of := func(pick func(int) int) float64 {
		a, b := make([]float64, len(pairs)), make([]float64, len(pairs))
		for i := range pairs {
			a[i], b[i] = pairs[pick(i)][0], pairs[pick(i)][1]
		}
		return middle(a) / max(middle(b), 1e-9)
	}
	if len(pairs) == 0 {
		return ratios{}
	}
	all := make([]float64, resamples)
	for k := range all {
		draw := make([]int, len(pairs))
		for i := range draw {
			draw[i] = rng.IntN(len(pairs))
		}
		all[k] = of(func(i int) int { return draw[i] })
	}
	slices.Sort(all)
	return ratios{of(func(i int) int { return i }), all[resamples*25/1000], all[resamples*975/1000]}
}

func middle(all []float64) float64 {
	all = slices.Sorted(slices.Values(all))
	if n := len(all); n%2 == 0 {
		return (all[n/2-1] + all[n/2]) / 2
	} else {
		return all[n/2]
	}
}

// span is a stretch of the others' load, with the struck tenant's beside it.
type span struct {
	with bool
	load load
}

// beside measures what a rule does to the others: pairs of spans with it and without, the first
// of each pair being by turns one or the other.
func (f *faultFleet) beside(ctx context.Context, r *Report, pairs int) error {
	rule := faultrules.Rule{Name: "beside", Tenant: faultStruck, Routes: []string{"renominate"}, Share: faultShare, Effect: faultrules.Double,
		MostPerS: 100, EndsS: 300, Budget: 1_000_000}
	if _, _, err := f.client().StopFaults(ctx); err != nil {
		return err
	}
	on := false
	var spans []span
	var cpu float64
	ran, struck := 0, 0
	for i := range 2 * pairs {
		with := i%4 == 1 || i%4 == 2
		if with && !on {
			if err := f.put(ctx, rule); err != nil {
				return err
			}
		} else if on && !with {
			if _, _, err := f.client().StopFaults(ctx); err != nil {
				return err
			}
		}
		if on != with {
			time.Sleep(spanSettle)
		}
		on = with
		used, before := f.cpu(), f.servers.total()
		done := make(chan int, 1)
		go func() {
			n := 0
			for _, s := range f.pace(spanLoad, spanGap, "beside", 1, "key-struck") {
				if f.servers.ran(s.id) > 1 {
					n++
				}
			}
			done <- n
		}()
		s := span{with, f.others(spanLoad)}
		doubled := <-done
		spans = append(spans, s)
		if with {
			struck += doubled
		} else {
			cpu, ran = cpu+f.cpu()-used, ran+f.servers.total()-before
			r.Rule(doubled == 0, "%d were doubled without a rule", doubled)
		}
	}
	if _, _, err := f.client().StopFaults(ctx); err != nil {
		return err
	}
	f.judgeSpans(r, spans)
	r.Figure["beside_doubled"] = struck
	r.Rule(struck > 0, "nobody was doubled beside the others")
	f.spare(r, cpu, ran)
	return nil
}

// judgeSpans tells what the spans show, and what such spans without any rule show: that is the
// least that this machine can tell from nothing.
func (f *faultFleet) judgeSpans(r *Report, spans []span) {
	var with, without, served, servedWithout []float64
	var pairs, halves [][2]float64
	for i := 0; i+1 < len(spans); i += 2 {
		a, b := spans[i].load, spans[i+1].load
		if !spans[i].with {
			a, b = b, a
		}
		with, without = append(with, a.p99.Seconds()*1000), append(without, b.p99.Seconds()*1000)
		served, servedWithout = append(served, a.served()), append(servedWithout, b.served())
		pairs = append(pairs, [2]float64{with[len(with)-1], without[len(without)-1]})
	}
	for i := 0; i+1 < len(pairs); i += 2 { // neighbours, the first being by turns one or the other half
		a, b := pairs[i][1], pairs[i+1][1]
		if i%4 == 2 {
			a, b = b, a
		}
		halves = append(halves, [2]float64{a, b})
	}
	ratio, floor := paired(pairs, r.Seed), paired(halves, r.Seed)
	r.Figure["others_p99_ratio"], r.Figure["others_p99_ratio_noise"] = ratio.figure(), floor.figure()
	r.Figure["others_p99_ms"] = []float64{middle(without), middle(with)}
	r.Figure["others_pairs"] = len(pairs)
	r.Figure["others_served_ratio"] = lo.Mean(served) / max(lo.Mean(servedWithout), 1e-9)
	verdict := "not shown: the machine's own noise is wider"
	switch {
	case ratio.High <= aimRatio:
		verdict = "shown"
	case ratio.Low > max(aimRatio, floor.High):
		verdict = "broken"
	}
	r.Figure["others_p99_within_2_percent"] = verdict
	r.Rule(verdict != "broken", "others' 99th percentile with the rule to without: %s (without any rule: %s)", ratio, floor)
	r.Rule(lo.Mean(served) > 0.98*lo.Mean(servedWithout), "others were served %.4f with the rule, %.4f without", lo.Mean(served),
		lo.Mean(servedWithout))
}

func (r ratios) String() string { return fmt.Sprintf("%.3f (%.3f to %.3f)", r.At, r.Low, r.High) }
