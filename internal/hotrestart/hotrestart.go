// Package hotrestart lets the processes of one gateway know of each other, by files in a
// folder that they share: who lives, who serves, and what one hands to the next.
package hotrestart

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

// Card is what a process tells of itself.
type Card struct {
	ID      string
	Started int64 // Unix nanoseconds
	Serves  bool  // it takes clients
}

// Strange is a file that is torn, of another version, or none of ours.
type Strange struct {
	File string
	Why  string
}

func (e *Strange) Error() string { return fmt.Sprintf("%s: %s", e.File, e.Why) }

// Twin is this process among those of its gateway.
type Twin struct {
	stem string // of all files
	lock *os.File
	card Card
}

// version is that of the files' form and of what is in them.
const version = 1

// Join makes this process known. id is unlike that of any other.
func Join(dir, gateway, id string, started int64) (*Twin, error) {
	t := &Twin{stem: filepath.Join(dir, "asterwell-"+gateway+"."), card: Card{ID: id, Started: started}}
	path := t.stem + id + ".lock"
	for {
		var err error
		if t.lock, err = os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600); err != nil {
			return nil, err
		}
		if err := unix.Flock(int(t.lock.Fd()), unix.LOCK_EX); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		mine, _ := t.lock.Stat()
		there, err := os.Stat(path)
		if err == nil && os.SameFile(mine, there) {
			return t, t.Say(false)
		}
		t.lock.Close() // one that looked before the lock was held has taken it for a dead one's
	}
}

// Say tells whether this process takes clients.
func (t *Twin) Say(serves bool) error {
	t.card.Serves = serves
	return write(t.stem+t.card.ID+".card", t.card)
}

// Leave takes this process's files away.
func (t *Twin) Leave() {
	for _, kind := range []string{".card", ".state", ".lock"} {
		os.Remove(t.stem + t.card.ID + kind)
	}
	t.lock.Close()
}

// Others are those that live, the oldest first, and what is strange about files. Those of
// the dead are taken away.
func (t *Twin) Others() (all []Card, strange []error) {
	locks, _ := filepath.Glob(t.stem + "*.lock")
	for _, lock := range locks {
		id := strings.TrimSuffix(strings.TrimPrefix(lock, t.stem), ".lock")
		if id == t.card.ID || strings.Contains(id, ".") {
			continue
		}
		if !lives(lock, func() {
			for _, kind := range []string{".card", ".state", ".lock"} {
				os.Remove(t.stem + id + kind)
			}
		}) {
			continue
		}
		card := Card{ID: id}
		if err := read(t.stem+id+".card", &card); err != nil && !errors.Is(err, os.ErrNotExist) {
			strange = append(strange, err)
		}
		if card.ID != id { // whoever that is, it lives
			strange = append(strange, &Strange{t.stem + id + ".card", "names " + card.ID})
			card = Card{ID: id}
		}
		all = append(all, card)
	}
	slices.SortFunc(all, func(a, b Card) int { return cmp.Or(cmp.Compare(a.Started, b.Started), cmp.Compare(a.ID, b.ID)) })
	return all, strange
}

// Younger reports whether a process started after this one.
func (t *Twin) Younger(c Card) bool {
	return c.Started > t.card.Started || c.Started == t.card.Started && c.ID > t.card.ID
}

// Hand gives a state to another process.
func (t *Twin) Hand(to Card, state any) error { return write(t.stem+to.ID+".state", state) }

// Take reads what was handed to this one. With false nothing has been yet.
func (t *Twin) Take(state any) (bool, error) {
	err := read(t.stem+t.card.ID+".state", state)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	return true, err
}

// lives tries the lock, which the kernel gives up with the process that holds it. A dead one's files are taken away
// while the lock is held: one that is just about to take it would else be left without them, and nobody would
// know of it. It finds that the file has gone, and makes another.
func lives(lock string, bury func()) bool {
	f, err := os.Open(lock)
	if err != nil {
		return false
	}
	defer f.Close()
	if unix.Flock(int(f.Fd()), unix.LOCK_SH|unix.LOCK_NB) == unix.EWOULDBLOCK {
		return true
	}
	if unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil { // else somebody joins, or looks too: the next look tells
		mine, _ := f.Stat()
		if there, err := os.Stat(lock); err == nil && os.SameFile(mine, there) {
			bury()
		}
	}
	return false
}

const head = "asterwell %d %016x %d\n"

// write puts a file in place in one step.
func write(path string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	text := append(fmt.Appendf(nil, head, version, xxhash.Sum64(body), len(body)), body...)
	tmp := path + ".new"
	if err := os.WriteFile(tmp, text, 0o600); err != nil {
		return err
	}
	return os.Rename(tmp, path)
}

// read takes a file only as a whole.
func read(path string, v any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	line, body, _ := strings.Cut(string(text), "\n")
	var of, length int
	var sum uint64
	if _, err := fmt.Sscanf(line+"\n", head, &of, &sum, &length); err != nil {
		return &Strange{path, "no file of ours"}
	}
	switch {
	case of != version:
		return &Strange{path, fmt.Sprintf("of version %d, not %d", of, version)}
	case len(body) != length || xxhash.Sum64String(body) != sum:
		return &Strange{path, "torn"}
	}
	if err := json.Unmarshal([]byte(body), v); err != nil {
		return &Strange{path, err.Error()}
	}
	return nil
}
