package choice

import (
	"encoding/json"
	"math"
	"testing"
	"time"
)

// A process takes over what the one before it knew: a customer's store is not filled anew,
// and shares of ceilings are counted once.
func TestHand(t *testing.T) {
	play := func() (*Balancer, *recorder) { return start(t, func(s *Settings) { s.Counter = false }) }
	old, was := play()
	request := func(b *Balancer, id uint32, now time.Duration) {
		q := ask(id, "read", "rated", now)
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
		t.Error("learnt anew")
	}
	for name, spoil := range map[string]func(s *SavedState){
		"a time to come":   func(s *SavedState) { s.Counted = now + time.Hour },
		"no number":        func(s *SavedState) { s.Floor = math.NaN() },
		"no latency":       func(s *SavedState) { s.Classes[0].Mean = 0 },
		"a store for ever": func(s *SavedState) { s.Customers[0].TAT = math.MaxInt64 },
		"no gateways":      func(s *SavedState) { s.Customers[0].Width = 0 },
	} {
		var s SavedState
		if err := json.Unmarshal(text, &s); err != nil {
			t.Fatal(err)
		}
		spoil(&s)
		b, _ := play()
		if err := b.ImportState(now, s); err == nil || len(b.customers) != 0 {
			t.Errorf("%s: taken (%v)", name, err)
		}
	}
	// While both live each has half of what one has.
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
