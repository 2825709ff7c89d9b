package testbed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"asterwell/internal/standin/list"
)

// Policy stands in for the gateways' choice of server: the same load, faults and
// servers, with no limits, quotas or patience of its own. It is what choices are
// measured against.
type Policy string

// The policies. Seeing sees every queue at once, as no gateway can: the limit.
const (
	Random     Policy = "random"      // by weight
	RoundRobin Policy = "round-robin" // each gateway from a place of its own
	TwoChoices Policy = "two-choices" // the one with less of this gateway's own out, by weight
	Seeing     Policy = "seeing"
)

// Policies are all of them.
var Policies = []Policy{Random, RoundRobin, TwoChoices, Seeing}

// chooser is what a policy keeps for a gateway. f.mu guards it.
type chooser struct {
	next int
	out  []int
}

// choose picks a server that this gateway's list has up and that is not tried; -1: none.
func (f *Field) choose(g *gateway, tried []int) int {
	var up []int
	weight := 0.0
	for _, e := range g.list.Entries() {
		var i int
		if fmt.Sscanf(e.ID, "s-%d", &i); e.State == "up" && !slices.Contains(tried, i) {
			up = append(up, i)
			weight += f.servers[i].Weight
		}
	}
	if len(up) == 0 {
		return -1
	}
	drawn := func() int {
		for u := rand.Float64() * weight; ; {
			for _, i := range up {
				if u -= f.servers[i].Weight; u < 0 {
					return i
				}
			}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &g.chooser
	if c.out == nil {
		c.out, c.next = make([]int, len(f.servers)), rand.IntN(len(f.servers))
	}
	switch f.opt.Policy {
	case RoundRobin:
		c.next++
		return up[c.next%len(up)]
	case TwoChoices:
		a, b := drawn(), drawn()
		if float64(c.out[b])/f.servers[b].Weight < float64(c.out[a])/f.servers[a].Weight {
			a = b
		}
		return a
	case Seeing:
		best, least := -1, math.Inf(1)
		rand.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
		for _, i := range up {
			if q := f.servers[i].queue(); q < least {
				best, least = i, q
			}
		}
		return best
	}
	return drawn()
}

// act sends a try by the policy, and again where nothing has run, within its time.
func (f *Field) act(g *gateway, id string, t *try, timeout time.Duration) int {
	end := time.Now().Add(timeout)
	done := make(chan int, 1)
	go func() {
		var tried []int
		for range 5 {
			i := f.choose(g, tried)
			if i < 0 || time.Now().After(end) {
				done <- 503
				return
			}
			tried = append(tried, i)
			s, l := f.servers[i], f.net.Link(g.index, i)
			if l.cut() {
				time.Sleep(min(250*time.Millisecond, time.Until(end))) // no connection comes up
				continue
			}
			s.mu.Lock()
			up := s.up
			s.mu.Unlock()
			if !up {
				continue
			}
			f.mu.Lock()
			g.chooser.out[i]++
			f.mu.Unlock()
			f.arrived(s, g.index, id, f.net.Now())
			how := s.do(id, t.submit, g.index, func() {})
			f.mu.Lock()
			g.chooser.out[i]--
			f.mu.Unlock()
			switch how {
			case served:
				done <- 200
				return
			case full:
				continue
			}
			done <- 502
			return
		}
		done <- 503
	}()
	select {
	case status := <-done:
		return status
	case <-time.After(timeout):
		return 504
	}
}

// policyGateway is one without a process.
func (f *Field) policyGateway(i int) *gateway {
	g := &gateway{f: f, index: i, list: list.New(), version: 1}
	for _, s := range f.servers {
		g.list.Set(g.entry(s, "up"))
	}
	g.agent = list.NewAgent(g.list)
	g.Process = &Process{Name: fmt.Sprint("g-", i)}
	g.ready.Store(true)
	return g
}
