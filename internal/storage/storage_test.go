package storage

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
)

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func openStore(t *testing.T, dir string) *Store {
	t.Helper()
	s, err := Open(dir)
	must(t, err)
	t.Cleanup(func() { s.Close() })
	return s
}

// testContent returns the content of generation g of a record.
func testContent(name string, g int) []byte {
	return bytes.Repeat([]byte(fmt.Sprintf("%s:%d;", name, g)), 700)
}

// populatedDir returns a directory with a closed store: two records of three generations and an empty one.
func populatedDir(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	s, err := Open(dir)
	must(t, err)
	for g := 1; g <= 3; g++ {
		must(t, s.SaveAll(map[string][]byte{"config": testContent("config", g), "vote": testContent("vote", g)}))
	}
	must(t, s.Save("empty", nil))
	must(t, s.Close())
	return dir
}

func TestReopen(t *testing.T) {
	s := openStore(t, populatedDir(t))
	if got := fmt.Sprint(s.Names()); got != "[config empty vote]" {
		t.Fatal(got)
	}
	for _, name := range []string{"config", "vote"} {
		if got, err := s.Load(name); err != nil || !bytes.Equal(got, testContent(name, 3)) {
			t.Fatal(name, len(got), err)
		}
	}
	if got, err := s.Load("empty"); err != nil || len(got) != 0 {
		t.Fatal(got, err)
	}
	if _, err := s.Load("other"); !errors.Is(err, os.ErrNotExist) {
		t.Fatal(err)
	}
}

// Damage at any offset of the file loses no record: Load returns a saved generation, reports it if it may not be the
// newest, and the damaged file is kept.
func TestDamagedBytes(t *testing.T) {
	content, err := os.ReadFile(filepath.Join(populatedDir(t), databaseName))
	must(t, err)
	var rolledBack, lost atomic.Int32
	damaged := func(t *testing.T, at int) {
		dir := t.TempDir()
		corrupted := bytes.Clone(content)
		for i := at; i < min(at+8, (at/pageSize+1)*pageSize); i++ {
			corrupted[i] ^= 0xa5
		}
		must(t, os.WriteFile(filepath.Join(dir, databaseName), corrupted, 0o644))
		s, err := Open(dir)
		var formatErr *FormatError
		if errors.As(err, &formatErr) {
			return // the damage looks like a later format, so the file is left unchanged
		}
		var d *DamagedError
		if s == nil || err != nil && !errors.As(err, &d) {
			t.Fatalf("byte %d: %v", at, err)
		}
		if d != nil {
			if kept, err := os.ReadFile(d.Path); err != nil || len(kept) == 0 {
				t.Fatalf("byte %d: the damaged file is gone: %v", at, err)
			}
		}
		for _, name := range []string{"config", "vote"} {
			got, err := s.Load(name)
			var rolledBackErr *RolledBackError
			switch {
			case err == nil && bytes.Equal(got, testContent(name, 3)):
			case errors.As(err, &rolledBackErr) && (bytes.Equal(got, testContent(name, 3)) || bytes.Equal(got, testContent(name, 2))):
				rolledBack.Add(1)
			case err != nil && got == nil && d != nil:
				lost.Add(1)
			default:
				t.Fatalf("byte %d: %s: %d bytes, %v (open: %v)", at, name, len(got), err, d)
			}
			must(t, s.Save(name, testContent(name, 9)))
			if got, err := s.Load(name); err != nil || !bytes.Equal(got, testContent(name, 9)) {
				t.Fatalf("byte %d: %s after a save: %v", at, name, err)
			}
		}
		must(t, s.Close())
		again, err := Open(dir)
		if err != nil {
			t.Fatalf("byte %d: opened again: %v", at, err)
		}
		must(t, again.Close())
	}
	t.Run("at", func(t *testing.T) {
		for from := range 8 {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				for at := from * 211; at < len(content); at += 8 * 211 {
					damaged(t, at)
				}
			})
		}
	})
	if rolledBack.Load() < 20 || lost.Load() > 0 {
		t.Fatalf("rolled back %d times, lost %d", rolledBack.Load(), lost.Load())
	}
}

// Records before the end of a truncated file are kept.
func TestTruncatedFile(t *testing.T) {
	content, err := os.ReadFile(filepath.Join(populatedDir(t), databaseName))
	must(t, err)
	kept := 0
	for size := len(content) - 100; size > 100; size -= 1500 {
		dir := t.TempDir()
		must(t, os.WriteFile(filepath.Join(dir, databaseName), content[:size], 0o644))
		s, err := Open(dir)
		var d *DamagedError
		if s == nil || err != nil && !errors.As(err, &d) {
			t.Fatalf("cut at %d: %v", size, err)
		}
		for _, name := range []string{"config", "vote"} {
			got, err := s.Load(name)
			if d == nil && !bytes.Equal(got, testContent(name, 3)) {
				t.Fatalf("cut at %d: %s: no damage reported, but %v", size, name, err)
			}
			if got != nil && !bytes.Equal(got, testContent(name, 3)) && !bytes.Equal(got, testContent(name, 2)) {
				t.Fatalf("cut at %d: %s was never saved like this: %v", size, name, err)
			}
			if got != nil {
				kept++
			}
		}
		must(t, s.Close())
	}
	if kept < 5 {
		t.Fatalf("only %d records were kept", kept)
	}
}

// Power is lost during a save when only a part of the new pages is in the file. Open
// restores the old state from the journal.
func TestPowerLossWithPartialWrite(t *testing.T) {
	dir := populatedDir(t)
	s := openStore(t, dir)
	tx, err := s.db.Begin()
	must(t, err)
	must(t, writeRow(tx, "config", 4, bytes.Repeat([]byte("new"), 1<<18)))
	must(t, writeRow(tx, "vote", 4, bytes.Repeat([]byte("new"), 1<<18)))
	crashed := t.TempDir()
	must(t, os.CopyFS(crashed, os.DirFS(dir)))
	must(t, tx.Rollback())
	info, err := os.Stat(filepath.Join(crashed, databaseName+journalSuffix))
	if err != nil || info.Size() == 0 {
		t.Fatal("no write was in progress", err)
	}
	was, err := os.ReadFile(filepath.Join(dir, databaseName))
	must(t, err)
	if now, _ := os.ReadFile(filepath.Join(crashed, databaseName)); bytes.Equal(was, now) {
		t.Fatal("no new page was in the file")
	}
	after := openStore(t, crashed)
	for _, name := range []string{"config", "vote"} {
		if got, err := after.Load(name); err != nil || !bytes.Equal(got, testContent(name, 3)) {
			t.Fatal(name, len(got), err)
		}
	}
}

func TestFullDisk(t *testing.T) {
	s := openStore(t, populatedDir(t))
	_, err := s.db.Exec("PRAGMA max_page_count = 20")
	must(t, err)
	var f *IOError
	big := bytes.Repeat([]byte("x"), 1<<20)
	if err := s.SaveAll(map[string][]byte{"config": testContent("config", 4), "vote": big}); !errors.As(err, &f) {
		t.Fatal(err)
	}
	if got, err := s.Load("config"); err != nil || !bytes.Equal(got, testContent("config", 3)) {
		t.Fatal(len(got), err)
	}
	must(t, s.Save("config", testContent("config", 5)))
	if got, err := s.Load("config"); err != nil || !bytes.Equal(got, testContent("config", 5)) {
		t.Fatal(len(got), err)
	}
}

// A file that is not a database is moved aside with its journal; so is a journal without a database.
func TestNotADatabase(t *testing.T) {
	dir := populatedDir(t)
	path := filepath.Join(dir, databaseName)
	for n := 1; n <= 2; n++ {
		must(t, os.WriteFile(path, []byte(strings.Repeat("no database ", 400)), 0o644))
		s, err := Open(dir)
		var d *DamagedError
		if s == nil || !errors.As(err, &d) || d.Path != fmt.Sprintf("%s.damaged-%d", path, n) {
			t.Fatal(n, err)
		}
		must(t, s.Save("vote", testContent("vote", 1)))
		must(t, s.Close())
	}
	must(t, os.Remove(path))
	must(t, os.WriteFile(path+journalSuffix, []byte("left"), 0o644))
	s := openStore(t, dir)
	if got, err := s.DamagedFiles(); err != nil || len(got) != 2 {
		t.Fatal(got, err)
	}
	if _, err := os.Stat(path + ".damaged-3" + journalSuffix); err != nil {
		t.Fatal(err)
	}
}

// A repair that was interrupted after the damaged file was moved aside is completed.
func TestInterruptedRepair(t *testing.T) {
	dir := populatedDir(t)
	path := filepath.Join(dir, databaseName)
	must(t, os.Rename(path, path+newSuffix))
	if got, err := openStore(t, dir).Load("vote"); err != nil || !bytes.Equal(got, testContent("vote", 3)) {
		t.Fatal(len(got), err)
	}
}

func TestLaterFormat(t *testing.T) {
	dir := populatedDir(t)
	s := openStore(t, dir)
	_, err := s.db.Exec("PRAGMA user_version = 2")
	must(t, err)
	must(t, s.Close())
	var f *FormatError
	if s, err := Open(dir); s != nil || !errors.As(err, &f) || f.Have != 2 {
		t.Fatal(err)
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "*damaged*")); len(left) > 0 {
		t.Fatal("a later format was moved aside")
	}
}

func TestSnapshot(t *testing.T) {
	s := openStore(t, populatedDir(t))
	path := filepath.Join(t.TempDir(), "copy")
	must(t, s.Snapshot(path))
	must(t, s.SaveAll(map[string][]byte{"vote": []byte("later"), "more": []byte("more")}))
	content, err := os.ReadFile(path)
	must(t, err)
	content[bytes.Index(content, []byte("vote:3;"))] ^= 1
	must(t, os.WriteFile(path+"-corrupted", content, 0o644))
	var d *DamagedError
	if err := s.Restore(path+"-corrupted", nil); !errors.As(err, &d) {
		t.Fatal(err)
	}
	if got, err := s.Load("vote"); err != nil || string(got) != "later" {
		t.Fatal(string(got), err)
	}
	must(t, s.Restore(path, nil))
	if got, err := s.Load("vote"); err != nil || !bytes.Equal(got, testContent("vote", 3)) {
		t.Fatal(len(got), err)
	}
	if got := fmt.Sprint(s.Names()); got != "[config empty vote]" {
		t.Fatal(got)
	}
	if err := s.Snapshot(path); !errors.Is(err, os.ErrExist) {
		t.Fatal(err)
	}
}
