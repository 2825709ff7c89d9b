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

// What is torn, of another version or another's is told and not believed.
func TestStrangeFiles(t *testing.T) {
	dir := t.TempDir()
	old, err := Join(dir, "n0", "aa", 1)
	if err != nil {
		t.Fatal(err)
	}
	next, err := Join(dir, "n0", "bb", 2)
	if err != nil {
		t.Fatal(err)
	}
	others, strange := old.Others()
	if len(others) != 1 || len(strange) != 0 || others[0] != (Card{"bb", 2, false}) || !old.Younger(others[0]) {
		t.Fatal(others, strange)
	}
	if got, err := next.Take(new(int)); got || err != nil {
		t.Fatal("nothing has been handed on: ", got, err)
	}
	if err := old.Hand(others[0], 42); err != nil {
		t.Fatal(err)
	}
	path := next.stem + "bb.state"
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var n int
	if got, err := next.Take(&n); !got || err != nil || n != 42 {
		t.Fatal(got, err, n)
	}
	for name, text := range map[string]string{
		"empty": "", "cut": string(good[:len(good)-1]), "longer": string(good) + "0", "changed": strings.Replace(string(good), "42", "43", 1),
		"of the next version": strings.Replace(string(good), "asterwell 1", "asterwell 2", 1), "another's": "{}\n42",
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		n = 0
		var strange *Strange
		if got, err := next.Take(&n); !got || !errors.As(err, &strange) || n != 0 {
			t.Errorf("%s: %v %v %v", name, got, err, n)
		}
	}
	if err := os.WriteFile(next.stem+"aa.card", good, 0o600); err != nil {
		t.Fatal(err)
	}
	if others, strange := next.Others(); len(others) != 1 || others[0].Serves || len(strange) == 0 {
		t.Error("a strange card of a process that lives: ", others, strange)
	}
	old.lock.Close() // as the kernel does
	if others, _ := next.Others(); len(others) != 0 {
		t.Error("the dead: ", others)
	}
	if files, _ := os.ReadDir(dir); len(files) != 3 {
		t.Error("files of the dead are left: ", files)
	}
}

// TestJoinsBesideLooks: a process that joins while others look is known to them from then on, however the two fall together:
// who looks may not take its files away for a dead one's.
func TestJoinsBesideLooks(t *testing.T) {
	dir := t.TempDir()
	old, err := Join(dir, "n0", "aa", 1)
	if err != nil {
		t.Fatal(err)
	}
	defer old.Leave()
	var over atomic.Bool
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for !over.Load() {
				old.Others()
			}
		})
	}
	unknown := 0
	for i := range 3000 {
		next, err := Join(dir, "n0", fmt.Sprintf("b%04d", i), int64(2+i))
		if err != nil {
			t.Fatal(err)
		}
		mine, _ := next.lock.Stat()
		if there, err := os.Stat(next.stem + next.card.ID + ".lock"); err != nil || !os.SameFile(mine, there) {
			unknown++
		}
		next.Leave()
	}
	over.Store(true)
	wg.Wait()
	if unknown > 0 {
		t.Errorf("%d of 3000 processes that joined are known to nobody", unknown)
	}
}
