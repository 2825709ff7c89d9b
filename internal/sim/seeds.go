package sim

import (
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Sweep is what many seeds showed.
type Sweep struct {
	Seeds    int
	Virtual  time.Duration
	Took     time.Duration
	Requests int
	Steps    uint64
	Failing  []Result
	Seen     map[string]int // by fault and outcome
	Pairs    map[string]int // two faults that were on at once
	In       map[string]int // seeds in which it came up
}

// Seeds runs count seeds from one on, on so many workers. each, if any, hears of
// every result, one at a time. limit, if above 0, ends it early, and first the first
// seed that fails.
func Seeds(from uint64, count, workers int, limit time.Duration, only []string, first bool, each func(Result)) Sweep {
	sum := Sweep{Seen: map[string]int{}, In: map[string]int{}, Pairs: map[string]int{}}
	for _, k := range Kinds { // what never comes up is to be seen
		sum.Seen["fault "+k] = 0
	}
	for _, k := range Situations {
		sum.Seen[k] = 0
	}
	var mu sync.Mutex
	var next atomic.Int64
	var failed atomic.Bool
	var wg sync.WaitGroup
	began := time.Now()
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				i := next.Add(1) - 1
				if i >= int64(count) || first && failed.Load() || limit > 0 && time.Since(began) > limit {
					return
				}
				r := Run(Draw(from+uint64(i), only), nil, 0)
				if r.Broken != "" {
					failed.Store(true)
				}
				mu.Lock()
				sum.add(r)
				if each != nil {
					each(r)
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	sum.Took = time.Since(began)
	slices.SortFunc(sum.Failing, func(a, b Result) int {
		if a.Seed < b.Seed {
			return -1
		}
		return 1
	})
	return sum
}

func (s *Sweep) add(r Result) {
	s.Seeds++
	s.Virtual += r.At
	s.Requests += r.Requests
	s.Steps += r.Steps
	if r.Broken != "" {
		s.Failing = append(s.Failing, r)
	}
	for k, n := range r.Pairs {
		s.Pairs[k] += n
	}
	for k, n := range r.Seen {
		s.Seen[k] += n
		s.In[k]++
	}
}

// Shrink takes away what is not needed for the same rule to break: faults, time,
// shippers, nodes and gateways. tried hears of each plan that still breaks it.
func Shrink(p Plan, tried func(Plan, Result)) (Plan, Result) {
	first := Run(p, nil, 0)
	best := first
	try := func(q Plan) bool {
		r := Run(q, nil, 0)
		if r.Broken != first.Broken {
			return false
		}
		p, best = q, r
		if tried != nil {
			tried(p, r)
		}
		return true
	}
	for again := true; again; {
		again = false
		for i := len(p.Faults) - 1; i >= 0; i-- {
			q := p
			q.Faults = slices.Delete(slices.Clone(p.Faults), i, i+1)
			again = try(q) || again
		}
		for _, change := range []func(*Plan){
			func(q *Plan) { q.Gateways-- }, func(q *Plan) { q.Nodes-- }, func(q *Plan) { q.Nodes /= 2 },
			func(q *Plan) { q.Shippers /= 2 }, func(q *Plan) { q.Shippers-- }, func(q *Plan) { q.Rate /= 2 },
			func(q *Plan) { q.Pieces = false }, func(q *Plan) { q.Load = best.At.Truncate(time.Second) + time.Second },
		} {
			q := p
			q.Faults = slices.Clone(p.Faults)
			change(&q)
			if text, _ := json.Marshal(q); q.Gateways > 0 && q.Nodes > 0 && q.Shippers > 0 && q.Rate > 1 && string(text) != string(must(json.Marshal(p))) {
				again = try(q) || again
			}
		}
		for i := range p.Faults {
			q := p
			q.Faults = slices.Clone(p.Faults)
			if q.Faults[i].For /= 2; q.Faults[i].For > 10*time.Millisecond {
				again = try(q) || again
			}
		}
	}
	return p, best
}

func must(b []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return b
}
