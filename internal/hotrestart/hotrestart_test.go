package hotrestart

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// Files that are incomplete, corrupt, of another version or in another format are reported
// and not used. Files of dead processes are removed.
func TestInvalidFiles(t *testing.T) {
	dir := t.TempDir()
	old, err := Join(dir, "n0", "aa", 1)
	if err != nil {
		t.Fatal(err)
	}
	next, err := Join(dir, "n0", "bb", 2)
	if err != nil {
		t.Fatal(err)
	}
	others, fileErrors := old.Others()
	if len(others) != 1 || len(fileErrors) != 0 || others[0] != (ProcessInfo{"bb", 2, false}) || !old.IsNewer(others[0]) {
		t.Fatal(others, fileErrors)
	}
	if got, err := next.ReadHandover(new(int)); got || err != nil {
		t.Fatal("state read before any was handed over: ", got, err)
	}
	if err := old.HandOver(others[0], 42); err != nil {
		t.Fatal(err)
	}
	path := next.pathPrefix + "bb.state"
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var n int
	if got, err := next.ReadHandover(&n); !got || err != nil || n != 42 {
		t.Fatal(got, err, n)
	}
	for name, text := range map[string]string{
		"empty": "", "cut": string(good[:len(good)-1]), "longer": string(good) + "0", "changed": strings.Replace(string(good), "42", "43", 1),
		"of the next version": strings.Replace(string(good), "asterwell 1", "asterwell 2", 1), "in another format": "{}\n42",
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		n = 0
		var invalid *InvalidFileError
		if got, err := next.ReadHandover(&n); !got || !errors.As(err, &invalid) || n != 0 {
			t.Errorf("%s: %v %v %v", name, got, err, n)
		}
	}
	if err := os.WriteFile(next.pathPrefix+"aa.card", good, 0o600); err != nil {
		t.Fatal(err)
	}
	if others, fileErrors := next.Others(); len(others) != 1 || others[0].Serves || len(fileErrors) == 0 {
		t.Error("invalid card of a live process: ", others, fileErrors)
	}
	old.lock.Close() // as the kernel does when the process ends
	if others, _ := next.Others(); len(others) != 0 {
		t.Error("dead process listed: ", others)
	}
	if files, _ := os.ReadDir(dir); len(files) != 3 {
		t.Error("files of dead processes are left: ", files)
	}
}

// A process that joins while others list the processes stays visible to them: a listing process
// must not take the new lock file for that of a dead process and remove it.
func TestJoinDuringListing(t *testing.T) {
	dir := t.TempDir()
	old, err := Join(dir, "n0", "aa", 1)
	if err != nil {
		t.Fatal(err)
	}
	defer old.Leave()
	var done atomic.Bool
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for !done.Load() {
				old.Others()
			}
		})
	}
	invisible := 0
	for i := range 3000 {
		next, err := Join(dir, "n0", fmt.Sprintf("b%04d", i), int64(2+i))
		if err != nil {
			t.Fatal(err)
		}
		opened, _ := next.lock.Stat()
		if current, err := os.Stat(next.pathPrefix + next.info.ID + ".lock"); err != nil || !os.SameFile(opened, current) {
			invisible++
		}
		next.Leave()
	}
	done.Store(true)
	wg.Wait()
	if invisible > 0 {
		t.Errorf("%d of 3000 processes that joined have no lock file that others see", invisible)
	}
}
