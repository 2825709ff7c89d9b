package testbed

import (
	"math"
	"slices"
	"time"
)

// Report is what a run showed.
type Report struct {
	Broken     []Broken      `json:"broken"`
	Void       []string      `json:"void"` // why it counts for nothing
	Tries      int           `json:"tries"`
	Served     int           `json:"served"`
	Refused    int           `json:"refused"`
	Failed     int           `json:"failed"`
	Unanswered int           `json:"unanswered"`
	Attempts   int           `json:"attempts"`
	Probes     int           `json:"probes"`
	Accepted   int           `json:"connections"`
	Late99     time.Duration `json:"late_p99"`
	LateMost   time.Duration `json:"late_max"`
	P50        time.Duration `json:"p50"`
	P99        time.Duration `json:"p99"`
	Even       Even          `json:"even"`
	ColdOver   float64       `json:"cold_work_over_bound_max"` // work that a cold server got in a second over what it bears

	Cluster  *Cluster `json:"cluster,omitempty"`
	CPUMsTry float64  `json:"cpu_ms_per_try"` // of the gateways' lives that were there at the end, starts included

	weights []float64

	arrivals []Arrival
	events   []Event
	from, to time.Duration
}

// The lateness of the field itself from which a run is void.
const (
	voidP99  = 40 * time.Millisecond
	voidMost = slack
)

func (f *Field) report(began time.Duration) *Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &Report{Broken: f.broken, Void: f.void, Tries: len(f.load.tries), Attempts: len(f.arrive), Probes: f.probes,
		arrivals: f.arrive, events: f.events, from: began, to: began + seconds(f.plan.Seconds)}
	r.Late99, r.LateMost = f.late.figures()
	if r.Late99 > voidP99 || r.LateMost > voidMost {
		r.Void = append(r.Void, "the machine was too busy: this process was woken "+r.LateMost.String()+" late, at the 99th percentile "+r.Late99.String())
	}
	for _, t := range f.load.tries {
		switch t.status {
		case 200:
			r.Served++
		case 429, 503:
			r.Refused++
		case 0:
			r.Unanswered++
		default:
			r.Failed++
		}
	}
	for _, s := range f.servers {
		r.Accepted += s.accepted
	}
	h := latency(f.load.tries, r.from, r.to)
	r.P50 = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	r.P99 = time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
	weights := make([]float64, len(f.servers))
	for i, s := range f.servers {
		weights[i] = s.Weight
	}
	r.weights, r.ColdOver = weights, f.coldOver
	r.Even = Measure(r.arrivals, r.events, weights, r.from+2*time.Second, r.to)
	r.Even.byCapacity(r.arrivals, r.events, f.capacity, r.from+2*time.Second, r.to)
	return r
}

// byCapacity sums attempts up against samples of what servers could do. A server that could do nothing in a part
// of a second is left out of that second: an attempt sent before anybody could know says nothing of the choice.
func (e *Even) byCapacity(arrivals []Arrival, events []Event, samples []Capacity, from, to time.Duration) {
	counts := func(at, span time.Duration) (got, part []float64) { // each server's attempts, and its even part
		var could, least []float64
		for _, c := range samples {
			if c.At < at || c.At >= at+span {
				continue
			}
			if could == nil {
				could, least = make([]float64, len(c.Of)), slices.Clone(c.Of)
			}
			for i, x := range c.Of {
				could[i] += x
				least[i] = min(least[i], x)
			}
		}
		n, all, total := make([]float64, len(could)), 0.0, 0.0
		i, _ := slices.BinarySearchFunc(arrivals, at, func(a Arrival, t time.Duration) int { return int(a.At - t) })
		for ; i < len(arrivals) && arrivals[i].At < at+span; i++ {
			if s := arrivals[i].Server; len(could) > 0 && least[s] > 0 {
				n[s]++
				all++
			}
		}
		for i, x := range could {
			if least[i] > 0 {
				total += x
			}
		}
		for i, x := range could {
			if least[i] > 0 && all > 0 {
				got, part = append(got, n[i]), append(part, all*x/total)
			}
		}
		return got, part
	}
	rounds := 0.0
	for at := from; at+time.Second <= to; at += time.Second {
		if got, part := counts(at, time.Second); len(got) > 0 {
			dev := 0.0
			for i, x := range got {
				dev += (x/part[i] - 1) * (x/part[i] - 1)
			}
			e.CVCapacity += math.Sqrt(dev / float64(len(got)))
			rounds++
		}
	}
	if rounds > 0 {
		e.CVCapacity /= rounds
	}
	for _, v := range events {
		if v.At >= from && v.At+200*time.Millisecond <= to {
			got, part := counts(v.At, 200*time.Millisecond)
			for i, x := range got {
				e.HerdCapacity = max(e.HerdCapacity, x/max(1, part[i]))
			}
		}
	}
}

// Heat is the attempts by span of time and server, over the server's weight.
func (r *Report) Heat(span time.Duration) [][]float64 {
	cells := make([][]float64, max(1, int((r.to-r.from)/span)))
	for i := range cells {
		cells[i] = make([]float64, len(r.weights))
	}
	for _, a := range r.arrivals {
		if i := int((a.At - r.from) / span); i >= 0 && i < len(cells) {
			cells[i][a.Server] += 1 / r.weights[a.Server]
		}
	}
	return cells
}

// Even tells how evenly attempts came to servers by their weight.
type Even struct {
	CV        float64 `json:"cv"`          // spread of attempts by server and weight in 1 s, over their mean
	Peak100   float64 `json:"peak_100ms"`  // most that a server got in 100 ms over the mean, on average over windows
	HerdMax   float64 `json:"herd_max"`    // most that a server got in 200 ms after an event, over its even part
	IdleMax   int     `json:"idle_max"`    // servers that got nothing in 10 s though their even part was 5 or more
	PerSecond float64 `json:"per_second"`  // attempts
	Gateways  float64 `json:"gateways_of"` // that used a server, on average

	// The same by what servers can do at that time: warmth, slowness and death counted in. Even by weight and even
	// by capacity can't both be had while servers differ in more than weight.
	CVCapacity   float64 `json:"cv_capacity"`
	HerdCapacity float64 `json:"herd_capacity"`
}

// Measure sums attempts up. Weights are the servers'.
func Measure(arrivals []Arrival, events []Event, weights []float64, from, to time.Duration) Even {
	var e Even
	total := 0.0
	for _, w := range weights {
		total += w
	}
	window := func(at, span time.Duration) []float64 {
		n := make([]float64, len(weights))
		i, _ := slices.BinarySearchFunc(arrivals, at, func(a Arrival, t time.Duration) int { return int(a.At - t) })
		for ; i < len(arrivals) && arrivals[i].At < at+span; i++ {
			n[arrivals[i].Server]++
		}
		return n
	}
	sum := func(n []float64) (all float64) {
		for _, x := range n {
			all += x
		}
		return all
	}
	// cv of attempts by weight: each server's count over its even part.
	rounds := 0.0
	for at := from; at+time.Second <= to; at += time.Second {
		n := window(at, time.Second)
		if all := sum(n); all > 0 {
			dev := 0.0
			for i, x := range n {
				part := all * weights[i] / total
				dev += (x/part - 1) * (x/part - 1)
			}
			e.CV += math.Sqrt(dev / float64(len(n)))
			e.PerSecond += all
			rounds++
		}
	}
	if rounds > 0 {
		e.CV /= rounds
		e.PerSecond /= rounds
	}
	rounds = 0
	for at := from; at+100*time.Millisecond <= to; at += 100 * time.Millisecond {
		n, most := window(at, 100*time.Millisecond), 0.0
		if all := sum(n); all > 0 {
			for i, x := range n {
				most = max(most, x/(e.PerSecond/10*weights[i]/total))
			}
			e.Peak100 += most
			rounds++
		}
	}
	if rounds > 0 {
		e.Peak100 /= rounds
	}
	for _, v := range events {
		if v.At < from || v.At+200*time.Millisecond > to {
			continue
		}
		for i, x := range window(v.At, 200*time.Millisecond) {
			e.HerdMax = max(e.HerdMax, x/max(1, e.PerSecond/5*weights[i]/total))
		}
	}
	for at := from; at+10*time.Second <= to; at += time.Second {
		n, idle := window(at, 10*time.Second), 0
		all := sum(n)
		for i, x := range n {
			if x == 0 && all*weights[i]/total >= 5 {
				idle++
			}
		}
		e.IdleMax = max(e.IdleMax, idle)
	}
	users := map[[2]int]bool{}
	for _, a := range arrivals {
		users[[2]int{a.Server, a.Gateway}] = true
	}
	e.Gateways = float64(len(users)) / float64(max(1, len(weights)))
	return e
}
