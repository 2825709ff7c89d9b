package choice

import (
	"encoding/json"
	"math"
	"testing"
	"time"
)

// A process takes over the state of its predecessor: quotas start where they were, and shares
// of ceilings are not counted twice.
func TestStateTransfer(t *testing.T) {
	play := func() (*Balancer, *recorder) { return newTestBalancer(t, func(s *Settings) { s.Counter = false }) }
	old, was := play()
	request := func(b *Balancer, id uint32, now time.Duration) {
		q := newRequest(id, "read", "rated", now)
		q.Gateways = 2
		b.HandleRequest(now, q)
	}
	now := time.Duration(1_000_000) * time.Second
	for i := range uint32(6) {
		request(old, i+1, now)
	}
	if len(was.sends) != 5 || len(was.refused) != 1 {
		t.Fatal("the plan's burst of 10 is 5 for each of two gateways: ", was.log)
	}
	text, err := json.Marshal(old.ExportState(now))
	if err != nil {
		t.Fatal(err)
	}
	var s SavedState
	if err := json.Unmarshal(text, &s); err != nil {
		t.Fatal(err)
	}
	next, is := play()
	if err := next.ImportState(now, s); err != nil {
		t.Fatal(err)
	}
	request(next, 1, now)
	if len(is.sends) != 0 || len(is.refused) != 1 {
		t.Error("the customer has used its share: ", is.log)
	}
	if next.limit.Max != old.limit.Max || next.classes["read"].Mean != old.classes["read"].Mean {
		t.Error("the limit or the latency was not taken over")
	}
	for name, spoil := range map[string]func(s *SavedState){
		"a future time":           func(s *SavedState) { s.CountedAt = now + time.Hour },
		"not a number":            func(s *SavedState) { s.MinLoss = math.NaN() },
		"no latency":              func(s *SavedState) { s.Classes[0].Mean = 0 },
		"a TAT far in the future": func(s *SavedState) { s.Customers[0].TAT = math.MaxInt64 },
		"no gateways":             func(s *SavedState) { s.Customers[0].Gateways = 0 },
	} {
		var s SavedState
		if err := json.Unmarshal(text, &s); err != nil {
			t.Fatal(err)
		}
		spoil(&s)
		b, _ := play()
		if err := b.ImportState(now, s); err == nil || len(b.customers) != 0 {
			t.Errorf("%s: accepted (%v)", name, err)
		}
	}
	// While both processes run, each has half of one process's part.
	alone, _ := play()
	alone.SetProcesses(2)
	if got, want := alone.limit.ServersPerGateway, old.limit.ServersPerGateway/2; got != want {
		t.Error(got, want)
	}
	alone.SetProcesses(1)
	if got, want := alone.limit.ServersPerGateway, old.limit.ServersPerGateway; got != want {
		t.Error(got, want)
	}
}
