package consensus

import (
	"testing"
	"time"
)

// docBytesSent returns how many bytes of documents a process sends for calls that nobody answers.
func docBytesSent(bug Bug, primary string) (bytes int) {
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
			note(m.Receive(now, primary, View{Record: EpochRecord{ClusterID: 1, Ballot: Ballot{N: n}, Members: set,
				Writers: []string{primary}, Active: true}}))
		}
	}
	epoch(2)
	for i := range 20 {
		note(m.Put(now, uint64(i+1), docWithRoutes(i+1, 0)))
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

// TestForwardRetriesAreLimited checks that documents are not repeated without limit if there is no
// primary, or an overloaded one: they would fill a slow link, and no primary could be elected.
func TestForwardRetriesAreLimited(t *testing.T) {
	t.Parallel()
	doc := len(docWithRoutes(1, 0).Body)
	if n := docBytesSent(0, ""); n > 0 {
		t.Errorf("%d bytes are sent without a primary", n)
	}
	if n := docBytesSent(0, "a"); n < 20*doc || n > 25*doc {
		t.Errorf("%d documents for 20 calls", n/doc)
	}
	if n := docBytesSent(BugUnthrottledRetries, ""); n < 40*doc {
		t.Errorf("the disabled safeguard is not detected: %d documents", n/doc)
	}
	if n := docBytesSent(BugUnthrottledRetries, "a"); n < 40*doc {
		t.Errorf("the disabled safeguard is not detected: %d documents", n/doc)
	}
}

// TestReadRetries checks that small calls are repeated at the usual rate: a caller that knows an
// outdated primary has to find the new one before its call times out.
func TestReadRetries(t *testing.T) {
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
		t.Errorf("repeated %d times within the call timeout", asked)
	}
}
