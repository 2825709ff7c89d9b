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

func opened(t *testing.T, dir string) *Store {
	t.Helper()
	v, err := Open(dir)
	must(t, err)
	t.Cleanup(func() { v.Close() })
	return v
}

// blob is what generation g of a record holds.
func blob(name string, g int) []byte {
	return bytes.Repeat([]byte(fmt.Sprintf("%s:%d;", name, g)), 700)
}

// stocked has three records of three generations in a closed folder.
func stocked(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	v, err := Open(dir)
	must(t, err)
	for g := 1; g <= 3; g++ {
		must(t, v.SaveAll(map[string][]byte{"config": blob("config", g), "vote": blob("vote", g)}))
	}
	must(t, v.Save("empty", nil))
	must(t, v.Close())
	return dir
}

func TestRecordsLast(t *testing.T) {
	v := opened(t, stocked(t))
	if got := fmt.Sprint(v.Names()); got != "[config empty vote]" {
		t.Fatal(got)
	}
	for _, name := range []string{"config", "vote"} {
		if got, err := v.Load(name); err != nil || !bytes.Equal(got, blob(name, 3)) {
			t.Fatal(name, len(got), err)
		}
	}
	if got, err := v.Load("empty"); err != nil || len(got) != 0 {
		t.Fatal(got, err)
	}
	if _, err := v.Load("other"); !errors.Is(err, os.ErrNotExist) {
		t.Fatal(err)
	}
}

// Whatever page is damaged, and where, nothing is lost: what comes back is a generation that was saved, anything
// but the newest is told, and the file that was damaged is kept.
func TestDamagedBytes(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(stocked(t), file))
	must(t, err)
	var back, lost atomic.Int32
	damaged := func(t *testing.T, at int) {
		dir := t.TempDir()
		spoiled := bytes.Clone(text)
		for i := at; i < min(at+8, (at/pageSize+1)*pageSize); i++ {
			spoiled[i] ^= 0xa5
		}
		must(t, os.WriteFile(filepath.Join(dir, file), spoiled, 0o644))
		v, err := Open(dir)
		var fe *FormatError
		if errors.As(err, &fe) {
			return // the damage reads as a later format: left as it is
		}
		var d *DamagedError
		if v == nil || err != nil && !errors.As(err, &d) {
			t.Fatalf("byte %d: %v", at, err)
		}
		if d != nil {
			if kept, err := os.ReadFile(d.Path); err != nil || len(kept) == 0 {
				t.Fatalf("byte %d: the damaged file is gone: %v", at, err)
			}
		}
		for _, name := range []string{"config", "vote"} {
			got, err := v.Load(name)
			var sb *RolledBackError
			switch {
			case err == nil && bytes.Equal(got, blob(name, 3)):
			case errors.As(err, &sb) && (bytes.Equal(got, blob(name, 3)) || bytes.Equal(got, blob(name, 2))):
				back.Add(1)
			case err != nil && got == nil && d != nil:
				lost.Add(1)
			default:
				t.Fatalf("byte %d: %s: %d bytes, %v (open: %v)", at, name, len(got), err, d)
			}
			must(t, v.Save(name, blob(name, 9)))
			if got, err := v.Load(name); err != nil || !bytes.Equal(got, blob(name, 9)) {
				t.Fatalf("byte %d: %s after a save: %v", at, name, err)
			}
		}
		must(t, v.Close())
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
				for at := from * 211; at < len(text); at += 8 * 211 {
					damaged(t, at)
				}
			})
		}
	})
	if back.Load() < 20 || lost.Load() > 0 {
		t.Fatalf("stepped back %d times, lost %d", back.Load(), lost.Load())
	}
}

// A file cut short keeps what lies before the cut.
func TestCutShort(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(stocked(t), file))
	must(t, err)
	kept := 0
	for size := len(text) - 100; size > 100; size -= 1500 {
		dir := t.TempDir()
		must(t, os.WriteFile(filepath.Join(dir, file), text[:size], 0o644))
		v, err := Open(dir)
		var d *DamagedError
		if v == nil || err != nil && !errors.As(err, &d) {
			t.Fatalf("cut at %d: %v", size, err)
		}
		for _, name := range []string{"config", "vote"} {
			got, err := v.Load(name)
			if d == nil && !bytes.Equal(got, blob(name, 3)) {
				t.Fatalf("cut at %d: %s: nothing was told, but %v", size, name, err)
			}
			if got != nil && !bytes.Equal(got, blob(name, 3)) && !bytes.Equal(got, blob(name, 2)) {
				t.Fatalf("cut at %d: %s was never saved like this: %v", size, name, err)
			}
			if got != nil {
				kept++
			}
		}
		must(t, v.Close())
	}
	if kept < 5 {
		t.Fatalf("only %d records were kept", kept)
	}
}

// Power is lost while a save is under way, at the worst moment: a part of the new
// pages is in the file. The folder as it is then opens with the old state.
func TestKilledMidWrite(t *testing.T) {
	dir := stocked(t)
	v := opened(t, dir)
	tx, err := v.db.Begin()
	must(t, err)
	must(t, writeRow(tx, "config", 4, bytes.Repeat([]byte("new"), 1<<18)))
	must(t, writeRow(tx, "vote", 4, bytes.Repeat([]byte("new"), 1<<18)))
	copied := t.TempDir()
	must(t, os.CopyFS(copied, os.DirFS(dir)))
	must(t, tx.Rollback())
	info, err := os.Stat(filepath.Join(copied, file+journal))
	if err != nil || info.Size() == 0 {
		t.Fatal("no write was under way", err)
	}
	was, err := os.ReadFile(filepath.Join(dir, file))
	must(t, err)
	if now, _ := os.ReadFile(filepath.Join(copied, file)); bytes.Equal(was, now) {
		t.Fatal("nothing of it was in the file")
	}
	after := opened(t, copied)
	for _, name := range []string{"config", "vote"} {
		if got, err := after.Load(name); err != nil || !bytes.Equal(got, blob(name, 3)) {
			t.Fatal(name, len(got), err)
		}
	}
}

func TestFullDisk(t *testing.T) {
	v := opened(t, stocked(t))
	_, err := v.db.Exec("PRAGMA max_page_count = 20")
	must(t, err)
	var f *IOError
	big := bytes.Repeat([]byte("x"), 1<<20)
	if err := v.SaveAll(map[string][]byte{"config": blob("config", 4), "vote": big}); !errors.As(err, &f) {
		t.Fatal(err)
	}
	if got, err := v.Load("config"); err != nil || !bytes.Equal(got, blob("config", 3)) {
		t.Fatal(len(got), err)
	}
	must(t, v.Save("config", blob("config", 5)))
	if got, err := v.Load("config"); err != nil || !bytes.Equal(got, blob("config", 5)) {
		t.Fatal(len(got), err)
	}
}

// What is no database is moved aside with its journal; so is a journal left alone.
func TestNoDatabase(t *testing.T) {
	dir := stocked(t)
	path := filepath.Join(dir, file)
	for n := 1; n <= 2; n++ {
		must(t, os.WriteFile(path, []byte(strings.Repeat("no database ", 400)), 0o644))
		v, err := Open(dir)
		var d *DamagedError
		if v == nil || !errors.As(err, &d) || d.Path != fmt.Sprintf("%s.damaged-%d", path, n) {
			t.Fatal(n, err)
		}
		must(t, v.Save("vote", blob("vote", 1)))
		must(t, v.Close())
	}
	must(t, os.Remove(path))
	must(t, os.WriteFile(path+journal, []byte("left"), 0o644))
	v := opened(t, dir)
	if got, err := v.DamagedFiles(); err != nil || len(got) != 2 {
		t.Fatal(got, err)
	}
	if _, err := os.Stat(path + ".damaged-3" + journal); err != nil {
		t.Fatal(err)
	}
}

// A mending that was cut off after the damaged file was moved aside goes on.
func TestCutOffMending(t *testing.T) {
	dir := stocked(t)
	path := filepath.Join(dir, file)
	must(t, os.Rename(path, path+fresh))
	if got, err := opened(t, dir).Load("vote"); err != nil || !bytes.Equal(got, blob("vote", 3)) {
		t.Fatal(len(got), err)
	}
}

func TestFormats(t *testing.T) {
	dir := stocked(t)
	v := opened(t, dir)
	_, err := v.db.Exec("PRAGMA user_version = 2")
	must(t, err)
	must(t, v.Close())
	var f *FormatError
	if v, err := Open(dir); v != nil || !errors.As(err, &f) || f.Have != 2 {
		t.Fatal(err)
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "*damaged*")); len(left) > 0 {
		t.Fatal("a later format was moved aside")
	}
}

func TestSnapshot(t *testing.T) {
	v := opened(t, stocked(t))
	path := filepath.Join(t.TempDir(), "copy")
	must(t, v.Snapshot(path))
	must(t, v.SaveAll(map[string][]byte{"vote": []byte("later"), "more": []byte("more")}))
	text, err := os.ReadFile(path)
	must(t, err)
	text[bytes.Index(text, []byte("vote:3;"))] ^= 1
	must(t, os.WriteFile(path+"-spoiled", text, 0o644))
	var d *DamagedError
	if err := v.Restore(path+"-spoiled", nil); !errors.As(err, &d) {
		t.Fatal(err)
	}
	if got, err := v.Load("vote"); err != nil || string(got) != "later" {
		t.Fatal(string(got), err)
	}
	must(t, v.Restore(path, nil))
	if got, err := v.Load("vote"); err != nil || !bytes.Equal(got, blob("vote", 3)) {
		t.Fatal(len(got), err)
	}
	if got := fmt.Sprint(v.Names()); got != "[config empty vote]" {
		t.Fatal(got)
	}
	if err := v.Snapshot(path); !errors.Is(err, os.ErrExist) {
		t.Fatal(err)
	}
}
