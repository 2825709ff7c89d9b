package cluster

import (
	"bufio"
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"

	"asterwell/internal/policy"
)

func entries(term uint64, from, to uint64) (all []*raftpb.Entry) {
	for i := from; i <= to; i++ {
		all = append(all, &raftpb.Entry{Term: new(term), Index: new(i), Data: []byte("x")})
	}
	return all
}

func formed(t *testing.T, folder string) *Store {
	t.Helper()
	self := Peer{ID: 5, Name: "a"}
	s, err := Open(folder, "c", self)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Form([]Peer{self}); err != nil {
		t.Fatal(err)
	}
	return s
}

func entryRange(t *testing.T, s *Store) (first, last uint64) {
	t.Helper()
	saved, err := s.Load()
	if err != nil {
		t.Fatal(err)
	}
	if n := len(saved.Entries); n > 0 {
		return saved.Entries[0].GetIndex(), saved.Entries[n-1].GetIndex()
	}
	return 0, 0
}

// Saved state survives reopening the folder. Entries of a later leader truncate the log
// behind them, and a snapshot received from another voter replaces all entries.
func TestStore(t *testing.T) {
	folder := t.TempDir()
	s := formed(t, folder)
	if err := s.Save(&raftpb.HardState{Term: new(uint64(2)), Vote: new(uint64(5)), Commit: new(uint64(4))}, entries(2, 2, 9), nil); err != nil {
		t.Fatal(err)
	}
	if err := s.Save(nil, entries(3, 6, 7), nil); err != nil {
		t.Fatal(err)
	}
	s.Close()
	s, err := Open(folder, "c", Peer{ID: 99, Name: "a"})
	if err != nil {
		t.Fatal(err)
	}
	saved, err := s.Load()
	if err != nil || saved.Self.ID != 5 || saved.Hard.GetVote() != 5 || len(saved.Entries) != 6 || saved.Entries[5].GetTerm() != 3 {
		t.Fatalf("%v %+v", err, saved)
	}
	if err := s.Form([]Peer{{ID: 5, Name: "a"}}); err == nil {
		t.Error("Form succeeds on a folder with a state")
	}
	snap := Bootstrap([]Peer{{ID: 5, Name: "a"}})
	snap.Metadata.Index = new(uint64(4))
	if err := s.Compact(snap); err != nil {
		t.Fatal(err)
	}
	if first, last := entryRange(t, s); first != 5 || last != 7 {
		t.Errorf("entries %d to %d after its own snapshot at 4", first, last)
	}
	if err := s.Save(nil, nil, snap); err != nil {
		t.Fatal(err)
	}
	if first, last := entryRange(t, s); last != 0 {
		t.Errorf("entries %d to %d after another's snapshot", first, last)
	}
	s.Close()
}

// A damaged record, a gap in the log, and a log that ends before the commit index are
// reported as ErrDamaged, and no voter starts from them.
func TestDamage(t *testing.T) {
	for name, harm := range map[string]func(tx *bbolt.Tx) error{
		"a bit": func(tx *bbolt.Tx) error {
			b := tx.Bucket(logBucket)
			v := append([]byte(nil), b.Get(indexKey(4))...)
			v[2] ^= 1
			return b.Put(indexKey(4), v)
		},
		"a hole":       func(tx *bbolt.Tx) error { return tx.Bucket(logBucket).Delete(indexKey(4)) },
		"a lost end":   func(tx *bbolt.Tx) error { return tx.Bucket(logBucket).Delete(indexKey(5)) },
		"another's":    func(tx *bbolt.Tx) error { b := tx.Bucket(logBucket); return b.Put(indexKey(5), b.Get(indexKey(4))) },
		"a short vote": func(tx *bbolt.Tx) error { return tx.Bucket(metaBucket).Put([]byte("hard"), []byte{1}) },
	} {
		s := formed(t, t.TempDir())
		if err := s.Save(&raftpb.HardState{Term: new(uint64(2)), Vote: new(uint64(5)), Commit: new(uint64(5))}, entries(2, 2, 5), nil); err != nil {
			t.Fatal(err)
		}
		if err := s.db.Update(harm); err != nil {
			t.Fatal(err)
		}
		if _, err := s.Load(); !errors.Is(err, ErrDamaged) {
			t.Errorf("%s: %v", name, err)
		}
		if _, err := NewVoter(s, policy.DefaultTerms, func() uint64 { return 1 }, 0); err == nil {
			t.Errorf("%s: a voter starts", name)
		}
		s.Close()
	}
}

// Open rejects a copied folder, one of another member or cluster, and garbage.
func TestFolders(t *testing.T) {
	folder, copied := t.TempDir(), filepath.Join(t.TempDir(), "copy")
	formed(t, folder).Close()
	if err := os.CopyFS(copied, os.DirFS(folder)); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(copied, "c", Peer{Name: "a"}); !errors.Is(err, ErrCopiedFolder) {
		t.Errorf("a copy: %v", err)
	}
	if _, err := Open(folder, "d", Peer{Name: "a"}); err == nil {
		t.Error("another cluster's folder is opened")
	}
	if _, err := Open(folder, "c", Peer{Name: "b"}); err == nil {
		t.Error("another member's folder is opened")
	}
	junk := t.TempDir()
	if err := os.WriteFile(filepath.Join(junk, storeFile), bytes.Repeat([]byte("junk"), 5000), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(junk, "c", Peer{Name: "a"}); err == nil {
		t.Error("junk is opened")
	}
}

// failing is a disk whose writes fail while fails is set.
type failing struct {
	*Store
	fails bool
}

func (f *failing) Save(h *raftpb.HardState, e []*raftpb.Entry, s *raftpb.Snapshot) error {
	if f.fails {
		return errors.New("no space left")
	}
	return f.Store.Save(h, e, s)
}

// A voter whose write fails sends nothing any more, not even the messages that were
// waiting for that write.
func TestWriteFails(t *testing.T) {
	s := formed(t, t.TempDir())
	defer s.Close()
	d := &failing{Store: s}
	v, err := NewVoter(d, policy.DefaultTerms, func() uint64 { return 1 }, 0)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Duration(0)
	for ; now < 2*time.Second && !v.Leads(); now += 10 * time.Millisecond {
		v.Tick(now)
	}
	if !v.Leads() {
		t.Fatal("the only voter is not elected")
	}
	v.Out()
	d.fails = true
	v.Propose(now, policy.Command{Kind: policy.Propose, ID: 1, Text: []byte("{}")})
	if messages, grants := v.Out(); v.Err() == nil || len(messages)+len(grants) > 0 || v.Leads() || v.Register().Find(1) != nil {
		t.Errorf("after a failed write: error %v, %d messages, %d grants", v.Err(), len(messages), len(grants))
	}
}

func TestFrames(t *testing.T) {
	f := Frame{Kind: KindAsk, From: 1, To: 2, FromName: "gw-1", ToName: "gw-2", Body: []byte("body")}
	text := f.encode(7)
	read := func(b []byte, cluster uint64) (*Frame, error) {
		return readFrame(bufio.NewReader(bytes.NewReader(b)), cluster)
	}
	got, err := read(text, 7)
	if err != nil || got.FromName != "gw-1" || got.ToName != "gw-2" || string(got.Body) != "body" || got.From != 1 || got.To != 2 || got.Kind != KindAsk {
		t.Fatalf("%v %+v", err, got)
	}
	if _, err := read(text, 8); !errors.Is(err, errForeignFrame) {
		t.Errorf("another cluster's: %v", err)
	}
	for i := range text { // every single-bit error is detected
		for bit := range 8 {
			spoilt := bytes.Clone(text)
			spoilt[i] ^= 1 << bit
			if f, err := read(spoilt, 7); err == nil {
				t.Errorf("byte %d, bit %d: %+v", i, bit, f)
			}
		}
	}
	for n := range text {
		if _, err := read(text[:n], 7); err == nil {
			t.Errorf("a frame cut to %d bytes is accepted", n)
		}
	}
}

func TestConfig(t *testing.T) {
	good := `{"enabled": true, "cluster": "c", "listen": "127.0.0.1:1", "voters": [{"name": "a", "address": "127.0.0.1:1"}]`
	for text, want := range map[string]string{
		good + "}":                              "",
		good + `, "lease": 3}`:                  `line 1: unknown key "lease"`,
		good + ",\n \"lease_ms\": \"x\"}":       "line 2: lease_ms: a string does not fit",
		good + ",\n\n 5}":                       "line 3: invalid character '5' looking for beginning of object key string",
		good + `, "lease_ms": 100}`:             "lease_ms must be 300 to 60000, got 100",
		good + `, "renew_ms": 700}`:             "renew_ms must be 20 to 500, got 700",
		good + `, "without_majority": "guess"}`: `without_majority must be refuse or serve, got "guess"`,
		good + `, "addresses": {"b": "x"}}`:     `addresses.b: not host:port: "x"`,
		`{"enabled": true}`:                     "cluster is missing",
		`{"enabled": false, "cluster": ""}`:     "",
	} {
		_, err := ParseConfig([]byte(text))
		if got := ""; err != nil && err.Error() != want || err == nil && want != got {
			t.Errorf("%s:\n%v, want %q", text, err, want)
		}
	}
}
