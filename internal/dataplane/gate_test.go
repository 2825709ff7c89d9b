package dataplane

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"asterwell/internal/faultrules"
	"asterwell/internal/policy"
	"asterwell/internal/rollout"
)

// TestGate: without a lease effectful requests are refused, and pure ones if the configuration asks for
// that.
func TestGate(t *testing.T) {
	g := newTestGateway(t, faultrules.Strike{})
	lease := policy.Lease{Version: 1, Until: 10 * time.Hour}
	write := g.url
	read := strings.TrimSuffix(g.url, "x") + "look"
	for _, c := range []struct {
		name        string
		gate        rollout.Gate
		write, read int
	}{
		{"each", rollout.Gate{Version: 1}, 200, 200},
		{"leased", rollout.Gate{Version: 1, Together: true, Reads: true, Lease: lease}, 200, 200},
		{"no lease, reads by the last", rollout.Gate{Version: 1, Together: true}, 503, 200},
		{"no lease, reads by what is live", rollout.Gate{Version: 1, Together: true, Reads: true}, 503, 503},
		{"run out", rollout.Gate{Version: 1, Together: true, Reads: true, Lease: policy.Lease{Version: 1, Until: time.Minute}}, 503, 503},
		{"in a turn that does not end", rollout.Gate{Version: 1, Together: true, Reads: true, ReopensSoon: true}, 503, 503},
	} {
		g.plane.SetGate(c.gate)
		for url, want := range map[string]int{write: c.write, read: c.read} {
			g.url = url
			id := c.name + url[len(url)-4:]
			status, _, _ := g.request(t, http.DefaultClient, "k10", id, "x")
			if ran, _ := g.server.runsOf(id); status != want || (ran == 1) != (want == 200) {
				t.Errorf("%s, %s: %d, ran %d times", c.name, url, status, ran)
			}
		}
	}
	if n := g.plane.GateStats(); n.InTurn != 2 || n.Unleased != 5 || n.Held != 0 {
		t.Errorf("%+v", n)
	}
	// A request that waits for a change of version continues when it is complete.
	g.plane.SetGate(rollout.Gate{Version: 1, Together: true, ReopensSoon: true})
	go g.plane.SetGate(rollout.Gate{Version: 1, Together: true, Lease: lease})
	g.url = write
	if status, _, _ := g.request(t, http.DefaultClient, "k10", "waits", "x"); status != http.StatusOK {
		t.Errorf("after the turn: %d", status)
	}
}
