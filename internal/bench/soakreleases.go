package bench

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"time"
)

// Releases of servers in a soak: a server comes, and later sends DELETE without having said that it leaves, and serves on.
const (
	releaseGap        = 2500 * time.Millisecond // between two, on average
	releaseBeforeKill = 300 * time.Millisecond  // before all processes are killed, one is released
	releaseDrain      = 400 * time.Millisecond  // DrainMs: until then requests may be on their way
	releaseContact    = soakContact + time.Second
	soakHeartbeat     = 1500 * time.Millisecond
)

// release is a server that comes and goes.
type release struct {
	s       *soak
	name    string
	server  *httptest.Server
	endedAt time.Time // when its end was acknowledged; zero: it was not
	arrived []string  // IDs of the requests that came to it, guarded by soak.mu
}

// newRelease starts a server, and reports it until it is ended.
func (s *soak) newRelease(number int) *release {
	r := &release{s: s, name: fmt.Sprintf("released-%d", number)}
	serve := s.soakServer(r.name)
	r.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if to := q.Header.Get("X-Target-Instance"); to == r.name {
			s.mu.Lock()
			r.arrived = append(r.arrived, q.Header.Get("X-Attempt-Id"))
			s.mu.Unlock()
		}
		serve(w, q)
	}))
	r.call(http.MethodPut, 1)
	return r
}

// call makes a server's call until it is acknowledged, and reports whether it was.
func (r *release) call(method string, sequence int) bool {
	client := &http.Client{Timeout: time.Second}
	body, _ := json.Marshal(map[string]any{"Endpoint": r.server.Listener.Addr().String(),
		"SelfInfo":    map[string]any{"Backend": "toy", "Epoch": "v1", "Zone": "a", "Capacity": 50},
		"HealthState": map[string]any{"Phase": "serving", "Sequence": sequence, "WarmupLeftMs": 0}})
	for try := range 20 {
		q, _ := http.NewRequest(method, "http://"+r.s.nodes[try%3].control()+"/api/members/"+r.name, bytes.NewReader(body))
		if a, err := client.Do(q); err == nil {
			a.Body.Close()
			if a.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// releaseAlways has servers come and go, at drawn times and shortly before all processes are killed, and returns those whose
// end was acknowledged. They serve until the soak is over.
func (s *soak) releaseAlways(d time.Duration, seed uint64, plan []soakEvent) (ended []*release) {
	rng := rand.New(rand.NewPCG(seed, 0x4e1))
	began := time.Now()
	var due []time.Duration
	for at := time.Duration(rng.Int64N(int64(releaseGap))); at < d; at += time.Duration(rng.Int64N(2 * int64(releaseGap))) {
		due = append(due, at)
	}
	for _, e := range plan {
		if e.action == soakKillAll {
			due = append(due, max(0, e.at-releaseBeforeKill))
		}
	}
	done := make(chan *release)
	for i, at := range due {
		go func() {
			time.Sleep(time.Until(began.Add(at)) - time.Second)
			r := s.newRelease(i)
			time.Sleep(time.Until(began.Add(at)))
			if r.call(http.MethodDelete, 2) {
				r.endedAt = time.Now()
			}
			done <- r
		}()
	}
	for range due {
		r := <-done
		s.http = append(s.http, r.server)
		ended = append(ended, r)
	}
	return ended
}

// checkReleases checks that no request was sent to a server after its end had been acknowledged.
func (r *soakRun) checkReleases(note func(rule, format string, args ...any)) {
	sent := map[string]sentOne{}
	for _, s := range r.sent {
		sent[s.id] = s
	}
	for _, u := range r.uploads {
		sent[u.id] = sentOne{id: u.id, node: u.node, at: u.at, took: u.took}
	}
	for _, release := range r.releases {
		for _, id := range release.arrived {
			s, known := sent[id]
			if !known || release.endedAt.IsZero() || !s.at.After(release.endedAt.Add(releaseDrain)) || r.troubledWithin(s, releaseContact) {
				continue
			}
			note("DRAIN", "%s was sent to %s by %s %v after its end was acknowledged", id, release.name, s.node, s.at.Sub(release.endedAt).Round(time.Millisecond))
		}
	}
}
