package dataplane

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"asterwell/choice"
)

// TestUpdatesEqualWholeList: a sequence of updates has the same result as setting the whole list.
func TestUpdatesEqualWholeList(t *testing.T) {
	plane := func() *Plane {
		return New(Options{Now: func() time.Duration { return time.Hour }, MaxServerConns: 10, Seed: 1})
	}
	rng := rand.New(rand.NewPCG(34, 1))
	p, current := plane(), map[string]Server{}
	for step := range 2000 {
		var changed []Server
		var gone []string
		for range 1 + rng.IntN(4) {
			id := fmt.Sprint("s-", rng.IntN(40))
			if slices.Contains(gone, id) || slices.ContainsFunc(changed, func(s Server) bool { return s.ID == id }) {
				continue
			}
			if rng.IntN(4) == 0 {
				gone = append(gone, id)
				delete(current, id)
				continue
			}
			s := Server{ID: id, Addr: id, Service: fmt.Sprint("toy-", rng.IntN(3)), State: choice.State(rng.IntN(3)), Capacity: rng.IntN(2)}
			changed = append(changed, s)
			current[id] = s
		}
		p.UpdateServers(changed, gone)
		whole := plane()
		whole.SetServers(slices.Collect(maps.Values(current)))
		if d := cmp.Diff(whole.servers, p.servers) + cmp.Diff(whole.serviceOf, p.serviceOf); d != "" {
			t.Fatalf("step %d: %s", step, d)
		}
		if step%100 == 0 { // replaces the whole list
			p.SetServers(slices.Collect(maps.Values(current)))
		}
	}
	p.SetServers(nil)
	if len(p.servers)+len(p.serviceOf) > 0 {
		t.Error(p.servers, p.serviceOf)
	}
}
