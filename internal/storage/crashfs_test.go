package storage

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"asterwell/internal/storage/crashfs"
)

// recorded does something to the records in a folder, and tells each step of it.
func recorded(t *testing.T, dir string, do func(v *Store)) []crashfs.Step {
	t.Helper()
	must(t, crashfs.Register())
	was := vfs
	vfs = crashfs.Name
	defer func() { vfs = was }()
	crashfs.Record()
	v, err := Open(dir)
	must(t, err)
	if do == nil {
		must(t, v.Close())
		return crashfs.Record()
	}
	crashfs.Record()
	do(v)
	steps := crashfs.Record()
	must(t, v.Close())
	return steps
}

func folder(t *testing.T, dir string) crashfs.Folder {
	t.Helper()
	f := crashfs.Folder{}
	for _, name := range []string{file, file + journal} {
		data, err := os.ReadFile(filepath.Join(dir, name))
		if err == nil {
			f[name] = data
		} else if !errors.Is(err, fs.ErrNotExist) {
			t.Fatal(err)
		}
	}
	return f
}

// crashes lays out what a loss of power can leave after each step: every subset of what was not synced where that is
// few, else each change alone lost and alone kept, and drawn subsets; torn writes, by sectors in order and drawn.
func crashes(start crashfs.Folder, steps []crashfs.Step, rng *rand.Rand, drawn int, judge func(f crashfs.Folder, after int) error) (count int, first error) {
	d := crashfs.NewDisk(start)
	for at := 0; first == nil; at++ {
		n := len(d.Pending())
		try := func(how string, takes func(i int, s crashfs.Step) []crashfs.Step) {
			if first != nil {
				return
			}
			i := -1
			count++
			f := d.Crash(func(s crashfs.Step) []crashfs.Step { i++; return takes(i, s) })
			if err := judge(f, at); err != nil {
				first = fmt.Errorf("after step %d of %d, %s: %w", at, len(steps), how, err)
			}
		}
		whole := func(yes bool, s crashfs.Step) []crashfs.Step {
			if yes {
				return []crashfs.Step{s}
			}
			return nil
		}
		if n <= 8 {
			for set := range 1 << n {
				try(fmt.Sprintf("set %b of %d", set, n), func(i int, s crashfs.Step) []crashfs.Step { return whole(set>>i&1 == 1, s) })
			}
		} else {
			for one := range n {
				for _, lost := range []bool{true, false} {
					try(fmt.Sprintf("%d of %d, lost %v", one, n, lost), func(i int, s crashfs.Step) []crashfs.Step { return whole((i == one) != lost, s) })
				}
			}
		}
		for range drawn {
			seed, full := rng.Uint64(), rng.IntN(3)
			try(fmt.Sprintf("drawn %d", seed), func(i int, s crashfs.Step) []crashfs.Step {
				r := rand.New(rand.NewPCG(seed, uint64(i)))
				switch k := r.IntN(4); {
				case k < full:
					return []crashfs.Step{s}
				case k == 3 && s.Kind == crashfs.Wrote:
					return crashfs.Torn(s, func(int) bool { return r.IntN(2) == 0 })
				}
				return nil
			})
		}
		if n > 0 { // the last write is torn after each of its sectors, with all before it there
			for cut := range 8 {
				try(fmt.Sprintf("torn after %d", cut), func(i int, s crashfs.Step) []crashfs.Step {
					if i < n-1 || s.Kind != crashfs.Wrote {
						return []crashfs.Step{s}
					}
					return crashfs.Torn(s, func(i int) bool { return i < cut })
				})
			}
		}
		if at == len(steps) {
			return count, first
		}
		d.Do(steps[at])
	}
	return count, first
}

// lay writes a folder, in memory's time: what is judged is what a start makes of it.
func lay(t *testing.T, dir string, f crashfs.Folder) {
	t.Helper()
	old, err := os.ReadDir(dir)
	must(t, err)
	for _, e := range old {
		must(t, os.Remove(filepath.Join(dir, e.Name())))
	}
	for name, data := range f {
		must(t, os.WriteFile(filepath.Join(dir, name), data, 0o644))
	}
}

// quick keeps SQLite from syncing while folders are judged that no power is lost over.
func quick(t *testing.T) string {
	t.Helper()
	if dir, err := os.MkdirTemp("/dev/shm", "vault-"); err == nil {
		t.Cleanup(func() { os.RemoveAll(dir) })
		return dir
	}
	return t.TempDir()
}

// saved says that what a folder holds is generation gen or the next one, of both records alike, and surely that one
// after the last step. Generation 0 is none.
func saved(t *testing.T, gen, last int) func(f crashfs.Folder, after int) error {
	at := quick(t)
	return func(f crashfs.Folder, after int) error {
		lay(t, at, f)
		v, err := Open(at)
		if err != nil {
			return err
		}
		defer v.Close()
		if aside, err := v.DamagedFiles(); err != nil || len(aside) > 0 {
			return fmt.Errorf("moved aside: %v %w", aside, err)
		}
		var holds [2]int
		for i, name := range []string{"config", "vote"} {
			data, err := v.Load(name)
			switch {
			case gen == 0 && errors.Is(err, fs.ErrNotExist):
			case err != nil:
				return err
			case bytes.Equal(data, blob(name, gen+1)):
				holds[i] = gen + 1
			case bytes.Equal(data, blob(name, gen)):
				holds[i] = gen
			default:
				return fmt.Errorf("%s has %d bytes that nobody saved", name, len(data))
			}
		}
		if holds[0] != holds[1] || after == last && holds[0] != gen+1 {
			return fmt.Errorf("generations %v, %d was saved", holds, gen+1)
		}
		return nil
	}
}

func both(gen int) map[string][]byte {
	return map[string][]byte{"config": blob("config", gen), "vote": blob("vote", gen)}
}

// TestEachStepOfASave: after each step of one save a loss of power leaves the state before it or the new one. Without
// one of its syncs it doesn't; but for the first of the journal, whose pages carry sums.
func TestEachStepOfASave(t *testing.T) {
	dir := stocked(t)
	start := folder(t, dir)
	steps := recorded(t, dir, func(v *Store) { must(t, v.SaveAll(both(4))) })
	n, err := crashes(start, steps, rand.New(rand.NewPCG(1, 2)), 60, saved(t, 3, len(steps)))
	t.Logf("%d steps, %d folders", len(steps), n)
	if err != nil || len(steps) < 20 || n < 1000 {
		t.Error(err)
	}
	var mu sync.Mutex
	var without []string
	syncs := 0
	t.Run("without", func(t *testing.T) {
		for i, s := range steps {
			if s.Kind != crashfs.Sync && s.Kind != crashfs.Named {
				continue
			}
			syncs++
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				less := slices.Delete(slices.Clone(steps), i, i+1)
				if _, err := crashes(start, less, rand.New(rand.NewPCG(1, 2)), 8, saved(t, 3, len(less))); err == nil {
					mu.Lock()
					defer mu.Unlock()
					without = append(without, fmt.Sprintf("%d %v", i, s))
				}
			})
		}
	})
	if syncs != 5 || len(without) != 1 || !strings.Contains(without[0], "sync "+file+journal) {
		t.Errorf("of %d syncs these are not missed: %v", syncs, without)
	}
}

// TestEachStepOfTheFirst is the same for a folder that had nothing: there is no record, or the first one, and nothing
// was moved aside, since a member whose disk had something may not found.
func TestEachStepOfTheFirst(t *testing.T) {
	dir := t.TempDir()
	steps := recorded(t, dir, nil)
	must(t, os.RemoveAll(dir))
	dir = t.TempDir()
	n, err := crashes(crashfs.Folder{}, steps, rand.New(rand.NewPCG(1, 2)), 60, saved(t, 0, -1))
	t.Logf("%d steps, %d folders", len(steps), n)
	if err != nil {
		t.Error("opened: ", err)
	}
	v := opened(t, dir)
	must(t, v.Close())
	start := folder(t, dir)
	steps = recorded(t, dir, func(v *Store) { must(t, v.SaveAll(both(1))) })
	n, err = crashes(start, steps, rand.New(rand.NewPCG(1, 2)), 60, saved(t, 0, len(steps)))
	t.Logf("%d steps, %d folders", len(steps), n)
	if err != nil {
		t.Error("saved: ", err)
	}
}

// drawn is what generation g of a record holds, of a length of its own.
func drawn(name string, g int) []byte {
	r := rand.New(rand.NewPCG(uint64(g), uint64(len(name))))
	return bytes.Repeat([]byte(fmt.Sprintf("%s:%d;", name, g)), 1+r.IntN([]int{20, 700, 12000}[r.IntN(3)]))
}

// lose leaves of each change that was not synced it, nothing or some sectors.
func lose(rng *rand.Rand) crashfs.Fate {
	full := rng.IntN(3)
	return func(s crashfs.Step) []crashfs.Step {
		switch k := rng.IntN(4); {
		case k <= full:
			return []crashfs.Step{s}
		case k == 3:
			return crashfs.Torn(s, func(int) bool { return rng.IntN(2) == 0 })
		}
		return nil
	}
}

// TestManySaves loses power at drawn moments of many saves, of one record or two, that grow and shrink; and again while
// what is left is opened: the newest that Save returned for is there, or the one that was under way.
func TestManySaves(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 33))
	dir := t.TempDir()
	const saves = 40
	var ends []int // steps when each save returned
	must(t, opened(t, dir).Close())
	start := folder(t, dir)
	var tape []crashfs.Step
	recorded(t, dir, func(v *Store) {
		for g := 1; g <= saves; g++ {
			all := map[string][]byte{"config": drawn("config", g)}
			if g%3 == 0 {
				all["vote"] = drawn("vote", g)
			}
			must(t, v.SaveAll(all))
			tape = append(tape, crashfs.Record()...)
			ends = append(ends, len(tape))
		}
	})
	check := func(t *testing.T, at string, f crashfs.Folder, done int) {
		lay(t, at, f)
		v, err := Open(at)
		must(t, err)
		defer v.Close()
		held := 0
		for _, name := range []string{"config", "vote"} {
			data, err := v.Load(name)
			if errors.Is(err, fs.ErrNotExist) {
				continue
			}
			must(t, err)
			ok := false
			for g := max(done-2, 1); g <= min(done+1, saves); g++ {
				if name == "vote" && g%3 != 0 || !bytes.Equal(data, drawn(name, g)) {
					continue
				}
				ok = true
				if name == "config" {
					held = g
				} else if g != held-held%3 {
					t.Fatalf("vote is of generation %d, config of %d", g, held)
				}
			}
			if !ok {
				t.Fatalf("%s holds none of generations %d to %d", name, done-2, done+1)
			}
		}
		if held < done || held > done+1 {
			t.Fatalf("config is of generation %d, %d was saved", held, done)
		}
	}
	type end struct {
		folder crashfs.Folder
		done   int
	}
	var left []end
	at, twice := quick(t), 0
	for range 400 {
		stop := rng.IntN(len(tape) + 1)
		done, _ := slices.BinarySearch(ends, stop+1)
		d := crashfs.NewDisk(start)
		for _, s := range tape[:stop] {
			d.Do(s)
		}
		f := d.Crash(lose(rng))
		left = append(left, end{f, done})
		lay(t, at, f)
		again := recorded(t, at, nil)
		if len(again) == 0 {
			continue
		}
		twice++
		d = crashfs.NewDisk(f)
		for _, s := range again[:rng.IntN(len(again)+1)] {
			d.Do(s)
		}
		left = append(left, end{d.Crash(lose(rng)), done})
	}
	t.Run("opened", func(t *testing.T) {
		for part := range slices.Chunk(left, 50) {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				at := quick(t)
				for _, e := range part {
					check(t, at, e.folder, e.done)
				}
			})
		}
	})
	t.Logf("%d steps of %d saves, %d times power was lost again while it opened", len(tape), saves, twice)
	if twice < 50 {
		t.Errorf("power was lost while it opened %d times", twice)
	}
}
