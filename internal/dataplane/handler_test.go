package dataplane

import (
	"net/http"
	"strconv"
	"testing"

	"asterwell/internal/faultrules"
)

// TestClosingRefuses: a gateway that is about to end refuses new requests with the promise that they have
// not run, since it could not wait for their answers.
func TestClosingRefuses(t *testing.T) {
	g := newTestGateway(t, faultrules.Strike{})
	if status, _, _ := g.request(t, http.DefaultClient, "k10", "before", "x"); status != http.StatusOK {
		t.Fatalf("before: %d", status)
	}
	g.closing.Store(true)
	status, _, _ := g.request(t, http.DefaultClient, "k10", "after", "x")
	if ran, _ := g.server.runsOf("after"); status != http.StatusServiceUnavailable || ran != 0 {
		t.Errorf("after: %d, ran %d times", status, ran)
	}
}

// TestNoServerTakesNoQuota: a request for a service without servers takes no quota: it has not run, and
// will be repeated.
func TestNoServerTakesNoQuota(t *testing.T) {
	g := newTestGateway(t, faultrules.Strike{})
	quotaCalls := 0
	g.quota = func(string) bool { quotaCalls++; return quotaCalls <= 1 }
	g.plane.SetServers(nil)
	for _, id := range []string{"a", "b", "c"} {
		if status, _, _ := g.request(t, http.DefaultClient, "k10", id, "x"); status != http.StatusServiceUnavailable || quotaCalls > 0 {
			t.Errorf("%s, without a server: %d, %d counted", id, status, quotaCalls)
		}
	}
	g.plane.SetServers(g.servers)
	for i, want := range []int{http.StatusOK, http.StatusTooManyRequests} {
		if status, _, _ := g.request(t, http.DefaultClient, "k10", strconv.Itoa(i), "x"); status != want || quotaCalls != i+1 {
			t.Errorf("request %d with a server: %d, %d counted", i, status, quotaCalls)
		}
	}
}

// TestRepeatedIDIsRefused: with two IDs it would be open which one the answer belongs to.
func TestRepeatedIDIsRefused(t *testing.T) {
	g := newTestGateway(t, faultrules.Strike{})
	request := func(ids ...string) int {
		r, _ := http.NewRequest("GET", g.url, nil)
		r.Host = "toy.example"
		r.Header.Set("Authorization", "Bearer k10")
		r.Header[headerID] = ids
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		return response.StatusCode
	}
	if status := request("a", "b"); status != http.StatusBadRequest {
		t.Errorf("two names: %d", status)
	}
	for _, id := range []string{"a", "b"} {
		if ran, _ := g.server.runsOf(id); ran != 0 {
			t.Errorf("%s ran", id)
		}
	}
}
