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

// recordChanges opens the store in dir and returns the changes that run makes to its files, or
// those of opening it if run is nil.
func recordChanges(t *testing.T, dir string, run func(s *Store)) []crashfs.Change {
	t.Helper()
	must(t, crashfs.Register())
	previous := vfs
	vfs = crashfs.VFSName
	defer func() { vfs = previous }()
	crashfs.TakeRecording()
	s, err := Open(dir)
	must(t, err)
	if run == nil {
		must(t, s.Close())
		return crashfs.TakeRecording()
	}
	crashfs.TakeRecording()
	run(s)
	changes := crashfs.TakeRecording()
	must(t, s.Close())
	return changes
}

func readFiles(t *testing.T, dir string) crashfs.Files {
	t.Helper()
	f := crashfs.Files{}
	for _, name := range []string{databaseName, databaseName + journalSuffix} {
		data, err := os.ReadFile(filepath.Join(dir, name))
		if err == nil {
			f[name] = data
		} else if !errors.Is(err, fs.ErrNotExist) {
			t.Fatal(err)
		}
	}
	return f
}

// checkCrashes calls check with the files that a power loss may leave after each change: with every subset of the
// unsynced changes if there are at most 8, else with each one alone lost and alone kept; with random subsets and
// random torn writes; and with the last write torn after each sector. It returns the number of cases and the first error.
func checkCrashes(initial crashfs.Files, changes []crashfs.Change, rng *rand.Rand, randomCases int, check func(f crashfs.Files, after int) error) (count int, first error) {
	d := crashfs.NewDisk(initial)
	for at := 0; first == nil; at++ {
		n := len(d.Pending())
		try := func(how string, survive func(i int, c crashfs.Change) []crashfs.Change) {
			if first != nil {
				return
			}
			i := -1
			count++
			f := d.Crash(func(c crashfs.Change) []crashfs.Change { i++; return survive(i, c) })
			if err := check(f, at); err != nil {
				first = fmt.Errorf("after change %d of %d, %s: %w", at, len(changes), how, err)
			}
		}
		keepIf := func(keep bool, c crashfs.Change) []crashfs.Change {
			if keep {
				return []crashfs.Change{c}
			}
			return nil
		}
		if n <= 8 {
			for set := range 1 << n {
				try(fmt.Sprintf("set %b of %d", set, n), func(i int, c crashfs.Change) []crashfs.Change { return keepIf(set>>i&1 == 1, c) })
			}
		} else {
			for one := range n {
				for _, lost := range []bool{true, false} {
					try(fmt.Sprintf("%d of %d, lost %v", one, n, lost), func(i int, c crashfs.Change) []crashfs.Change { return keepIf((i == one) != lost, c) })
				}
			}
		}
		for range randomCases {
			seed, full := rng.Uint64(), rng.IntN(3)
			try(fmt.Sprintf("random %d", seed), func(i int, c crashfs.Change) []crashfs.Change {
				r := rand.New(rand.NewPCG(seed, uint64(i)))
				switch k := r.IntN(4); {
				case k < full:
					return []crashfs.Change{c}
				case k == 3 && c.Kind == crashfs.Write:
					return crashfs.Sectors(c, func(int) bool { return r.IntN(2) == 0 })
				}
				return nil
			})
		}
		if n > 0 { // all changes survive, but the last write is torn after each of its sectors
			for cut := range 8 {
				try(fmt.Sprintf("torn after %d", cut), func(i int, c crashfs.Change) []crashfs.Change {
					if i < n-1 || c.Kind != crashfs.Write {
						return []crashfs.Change{c}
					}
					return crashfs.Sectors(c, func(i int) bool { return i < cut })
				})
			}
		}
		if at == len(changes) {
			return count, first
		}
		d.Apply(changes[at])
	}
	return count, first
}

// replaceFiles replaces the content of dir. It doesn't sync: only what Open makes of the files matters.
func replaceFiles(t *testing.T, dir string, f crashfs.Files) {
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

// memoryDir returns a directory in memory if possible, so that the syncs of checking a case cost nothing.
func memoryDir(t *testing.T) string {
	t.Helper()
	if dir, err := os.MkdirTemp("/dev/shm", "vault-"); err == nil {
		t.Cleanup(func() { os.RemoveAll(dir) })
		return dir
	}
	return t.TempDir()
}

// checkSaved returns a check that both records are of generation gen or both of gen+1, and of gen+1 after the last
// change. Generation 0 means that the record does not exist.
func checkSaved(t *testing.T, gen, last int) func(f crashfs.Files, after int) error {
	at := memoryDir(t)
	return func(f crashfs.Files, after int) error {
		replaceFiles(t, at, f)
		s, err := Open(at)
		if err != nil {
			return err
		}
		defer s.Close()
		if aside, err := s.DamagedFiles(); err != nil || len(aside) > 0 {
			return fmt.Errorf("moved aside: %v %w", aside, err)
		}
		var held [2]int
		for i, name := range []string{"config", "vote"} {
			data, err := s.Load(name)
			switch {
			case gen == 0 && errors.Is(err, fs.ErrNotExist):
			case err != nil:
				return err
			case bytes.Equal(data, testContent(name, gen+1)):
				held[i] = gen + 1
			case bytes.Equal(data, testContent(name, gen)):
				held[i] = gen
			default:
				return fmt.Errorf("%s has %d bytes that were never saved", name, len(data))
			}
		}
		if held[0] != held[1] || after == last && held[0] != gen+1 {
			return fmt.Errorf("generations %v, %d was saved", held, gen+1)
		}
		return nil
	}
}

func bothRecords(gen int) map[string][]byte {
	return map[string][]byte{"config": testContent("config", gen), "vote": testContent("vote", gen)}
}

// A power loss after any change of a save leaves the old or the new state. Omitting any of the syncs breaks that,
// except the first sync of the journal, whose pages have checksums.
func TestPowerLossDuringSave(t *testing.T) {
	dir := populatedDir(t)
	initial := readFiles(t, dir)
	changes := recordChanges(t, dir, func(s *Store) { must(t, s.SaveAll(bothRecords(4))) })
	n, err := checkCrashes(initial, changes, rand.New(rand.NewPCG(1, 2)), 60, checkSaved(t, 3, len(changes)))
	t.Logf("%d changes, %d cases", len(changes), n)
	if err != nil || len(changes) < 20 || n < 1000 {
		t.Error(err)
	}
	var mu sync.Mutex
	var redundant []string
	syncs := 0
	t.Run("without", func(t *testing.T) {
		for i, c := range changes {
			if c.Kind != crashfs.Sync && c.Kind != crashfs.SyncDir {
				continue
			}
			syncs++
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				shortened := slices.Delete(slices.Clone(changes), i, i+1)
				if _, err := checkCrashes(initial, shortened, rand.New(rand.NewPCG(1, 2)), 8, checkSaved(t, 3, len(shortened))); err == nil {
					mu.Lock()
					defer mu.Unlock()
					redundant = append(redundant, fmt.Sprintf("%d %v", i, c))
				}
			})
		}
	})
	if syncs != 5 || len(redundant) != 1 || !strings.Contains(redundant[0], "sync "+databaseName+journalSuffix) {
		t.Errorf("of %d syncs, omitting these had no effect: %v", syncs, redundant)
	}
}

// A power loss during the first Open or Save leaves no record or the first one, and no file is moved aside: a member
// whose disk held data may not bootstrap a cluster.
func TestPowerLossDuringFirstSave(t *testing.T) {
	dir := t.TempDir()
	changes := recordChanges(t, dir, nil)
	must(t, os.RemoveAll(dir))
	dir = t.TempDir()
	n, err := checkCrashes(crashfs.Files{}, changes, rand.New(rand.NewPCG(1, 2)), 60, checkSaved(t, 0, -1))
	t.Logf("%d changes, %d cases", len(changes), n)
	if err != nil {
		t.Error("opened: ", err)
	}
	s := openStore(t, dir)
	must(t, s.Close())
	initial := readFiles(t, dir)
	changes = recordChanges(t, dir, func(s *Store) { must(t, s.SaveAll(bothRecords(1))) })
	n, err = checkCrashes(initial, changes, rand.New(rand.NewPCG(1, 2)), 60, checkSaved(t, 0, len(changes)))
	t.Logf("%d changes, %d cases", len(changes), n)
	if err != nil {
		t.Error("saved: ", err)
	}
}

// randomContent returns the content of generation g of a record, of a length that depends on g.
func randomContent(name string, g int) []byte {
	r := rand.New(rand.NewPCG(uint64(g), uint64(len(name))))
	return bytes.Repeat([]byte(fmt.Sprintf("%s:%d;", name, g)), 1+r.IntN([]int{20, 700, 12000}[r.IntN(3)]))
}

// randomSurvivors keeps each unsynced change, loses it, or keeps some sectors of it, at random.
func randomSurvivors(rng *rand.Rand) crashfs.Survivors {
	full := rng.IntN(3)
	return func(c crashfs.Change) []crashfs.Change {
		switch k := rng.IntN(4); {
		case k <= full:
			return []crashfs.Change{c}
		case k == 3:
			return crashfs.Sectors(c, func(int) bool { return rng.IntN(2) == 0 })
		}
		return nil
	}
}

// Power is lost at random moments of many saves, of one or two records of varying size, and again while the remaining
// files are opened. Afterwards the store holds the last save that returned, or the one in progress.
func TestPowerLossDuringManySaves(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 33))
	dir := t.TempDir()
	const saves = 40
	var ends []int // number of changes when each save returned
	must(t, openStore(t, dir).Close())
	initial := readFiles(t, dir)
	var recording []crashfs.Change
	recordChanges(t, dir, func(s *Store) {
		for g := 1; g <= saves; g++ {
			all := map[string][]byte{"config": randomContent("config", g)}
			if g%3 == 0 {
				all["vote"] = randomContent("vote", g)
			}
			must(t, s.SaveAll(all))
			recording = append(recording, crashfs.TakeRecording()...)
			ends = append(ends, len(recording))
		}
	})
	check := func(t *testing.T, at string, f crashfs.Files, done int) {
		replaceFiles(t, at, f)
		s, err := Open(at)
		must(t, err)
		defer s.Close()
		configGeneration := 0
		for _, name := range []string{"config", "vote"} {
			data, err := s.Load(name)
			if errors.Is(err, fs.ErrNotExist) {
				continue
			}
			must(t, err)
			ok := false
			for g := max(done-2, 1); g <= min(done+1, saves); g++ {
				if name == "vote" && g%3 != 0 || !bytes.Equal(data, randomContent(name, g)) {
					continue
				}
				ok = true
				if name == "config" {
					configGeneration = g
				} else if g != configGeneration-configGeneration%3 {
					t.Fatalf("vote is of generation %d, config of %d", g, configGeneration)
				}
			}
			if !ok {
				t.Fatalf("%s holds none of generations %d to %d", name, done-2, done+1)
			}
		}
		if configGeneration < done || configGeneration > done+1 {
			t.Fatalf("config is of generation %d, %d was saved", configGeneration, done)
		}
	}
	type crashCase struct {
		files crashfs.Files
		done  int
	}
	var cases []crashCase
	at, crashesDuringOpen := memoryDir(t), 0
	for range 400 {
		stop := rng.IntN(len(recording) + 1)
		done, _ := slices.BinarySearch(ends, stop+1)
		d := crashfs.NewDisk(initial)
		for _, c := range recording[:stop] {
			d.Apply(c)
		}
		f := d.Crash(randomSurvivors(rng))
		cases = append(cases, crashCase{f, done})
		replaceFiles(t, at, f)
		openChanges := recordChanges(t, at, nil)
		if len(openChanges) == 0 {
			continue
		}
		crashesDuringOpen++
		d = crashfs.NewDisk(f)
		for _, c := range openChanges[:rng.IntN(len(openChanges)+1)] {
			d.Apply(c)
		}
		cases = append(cases, crashCase{d.Crash(randomSurvivors(rng)), done})
	}
	t.Run("opened", func(t *testing.T) {
		for part := range slices.Chunk(cases, 50) {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				at := memoryDir(t)
				for _, e := range part {
					check(t, at, e.files, e.done)
				}
			})
		}
	})
	t.Logf("%d changes of %d saves, %d times power was lost again during Open", len(recording), saves, crashesDuringOpen)
	if crashesDuringOpen < 50 {
		t.Errorf("power was lost during Open %d times, want at least 50", crashesDuringOpen)
	}
}
