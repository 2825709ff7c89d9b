package consensus

import (
	"bytes"
	"fmt"
	"testing"
	"time"
)

// TestPullsAreSpread starts 480 processes without a document that ten others hold: they ask all
// ten, not the first one alone, and never one with an older document.
func TestPullsAreSpread(t *testing.T) {
	asked := map[string]int{}
	for i := range 480 {
		self := fmt.Sprintf("10.0.1.%d:7", i)
		m := New(Config{Self: self, Name: self, ToleratedLosses: 1, Seeds: []string{"10.0.0.0:7"}, Seed: 5}, nil,
			time.Hour)
		peers := []Peer{{Addr: self, Up: true}}
		for k := range 12 {
			peers = append(peers, Peer{Addr: fmt.Sprintf("10.0.0.%d:7", k), Up: true, Member: k < 8,
				Version: uint32(3 - k/10)})
		}
		m.SetPeers(time.Hour, peers)
		for now := time.Hour; now < time.Hour+2*time.Second; now += 50 * time.Millisecond {
			for _, s := range m.Tick(now).Send {
				if _, is := s.Msg.(Pull); is {
					asked[s.To]++
				}
			}
		}
	}
	sum := 0
	for to, n := range asked {
		if sum += n; to == "10.0.0.10:7" || to == "10.0.0.11:7" {
			t.Errorf("%s, which has an older document, is asked %d times", to, n)
		}
	}
	for to, n := range asked {
		if n > sum/5 {
			t.Errorf("%s is asked %d of %d times", to, n, sum)
		}
	}
	if len(asked) != 10 || sum < 480 {
		t.Errorf("%d processes are asked, %d times in total", len(asked), sum)
	}
}

// TestLargeDocSentOnce checks that a large document isn't sent again while it may be in transit. A
// small one is, and so is a whole one in place of damaged deltas.
func TestLargeDocSentOnce(t *testing.T) {
	for _, c := range []struct {
		size   int
		deltas bool
		want   int
	}{{300 << 10, true, 2}, {300 << 10, false, 9}, {10 << 10, true, 9}} {
		m := New(Config{Self: "a:1", Name: "a", ToleratedLosses: 1, Seeds: []string{"a:1"}, Seed: 5}, nil, time.Hour)
		body := make([]byte, c.size)
		for i := range body {
			body[i] = byte(i * i >> 7 * 31) // packs badly
		}
		m.state.Committed = Doc{Version: 3, Body: bytes.Clone(body)}
		now, sent := time.Hour, 0
		for range 9 {
			for _, s := range m.Receive(now, "b:1", Pull{AcceptsDeltas: c.deltas}).Send {
				if _, is := s.Msg.(Push); is && s.To == "b:1" {
					sent++
				}
			}
			now += 300 * time.Millisecond
		}
		if sent != c.want {
			t.Errorf("%d bytes, deltas %v: sent %d times for nine requests in 2.4 s, want %d", c.size, c.deltas, sent,
				c.want)
		}
	}
}
