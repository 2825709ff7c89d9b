package consensus

import (
	"testing"
	"time"
)

// sentFor is how many bytes of documents a process sends for calls that nobody answers.
func sentFor(bug Bug, primary string) (bytes int) {
	m := New(Config{Self: "x", Seeds: []string{"a", "b", "c"}}, nil, 0)
	m.SetBug(bug)
	now := time.Second
	note := func(out Out) {
		for _, s := range out.Send {
			if f, ok := s.Msg.(Forward); ok {
				bytes += len(f.Doc.Body)
			}
		}
	}
	set := []Member{{Addr: "a", DiskID: 1}, {Addr: "b", DiskID: 1}, {Addr: "c", DiskID: 1}}
	epoch := func(n uint64) {
		if primary != "" {
			note(m.Receive(now, primary, View{Record: EpochRecord{ClusterID: 1, Ballot: Ballot{N: n}, Members: set, Writers: []string{primary}, Active: true}}))
		}
	}
	epoch(2)
	for i := range 20 {
		note(m.Put(now, uint64(i+1), routes(i+1, 0)))
	}
	for i := range 16 {
		now += 50 * ms
		if i == 8 {
			epoch(3) // the same primary again
		}
		note(m.Tick(now))
	}
	return bytes
}

// TestForwardsDoNotStorm: where nobody leads, or the one who does has too much to do, operators' documents
// are not sent again and again: a slow link would carry nothing else, and nobody could be elected.
func TestForwardsDoNotStorm(t *testing.T) {
	t.Parallel()
	doc := len(routes(1, 0).Body)
	if n := sentFor(0, ""); n > 0 {
		t.Errorf("nobody leads, and %d bytes are sent", n)
	}
	if n := sentFor(0, "a"); n < 20*doc || n > 25*doc {
		t.Errorf("%d documents for 20 calls", n/doc)
	}
	if n := sentFor(BugUnthrottledRetries, ""); n < 40*doc {
		t.Errorf("the guard taken out is not met: %d documents", n/doc)
	}
	if n := sentFor(BugUnthrottledRetries, "a"); n < 40*doc {
		t.Errorf("the guard taken out is not met: %d documents", n/doc)
	}
}

// TestReadsGoOn: small calls are repeated as often as ever; who went by an old primary has to find the new one within its patience.
func TestReadsGoOn(t *testing.T) {
	t.Parallel()
	m := New(Config{Self: "x", Seeds: []string{"a"}}, nil, 0)
	now, asked := time.Second, 0
	m.Get(now, 1)
	for range 15 {
		now += 50 * ms
		for _, s := range m.Tick(now).Send {
			if f, ok := s.Msg.(Forward); ok && f.Read {
				asked++
			}
		}
	}
	if asked < 4 {
		t.Errorf("repeated %d times within the patience", asked)
	}
}
