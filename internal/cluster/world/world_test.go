package world

import (
	"os"
	"runtime"
	"strconv"
	"sync"
	"testing"
)

// seedCount returns the number of seeds. The environment variable PLAYS overrides it.
func seedCount() int {
	if n, err := strconv.Atoi(os.Getenv("PLAYS")); err == nil {
		return n
	}
	return 200
}

// simulateAll runs the first count seeds in parallel.
func simulateAll(count int) []Result {
	all := make([]Result, count)
	var wg sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range all {
		slots <- struct{}{}
		wg.Go(func() { all[i] = Simulate(Options{Seed: uint64(i)}); <-slots })
	}
	wg.Wait()
	return all
}

// Under random faults, disk faults included, each change has one outcome, only one policy
// is in use at a time, and in the end all gateways serve by the newest.
func TestSeeds(t *testing.T) {
	t.Parallel()
	var sum Result
	for seed, r := range simulateAll(seedCount()) {
		for _, b := range r.Broken {
			t.Errorf("seed %d: %s", seed, b)
		}
		sum.Committed += r.Committed
		sum.Withdrawn += r.Withdrawn
		sum.Refused += r.Refused
		sum.Lost += r.Lost
		sum.Elected += r.Elected
	}
	t.Logf("%+v", sum)
	if sum.Committed < 200 || sum.Withdrawn < 20 || sum.Refused < 20 || sum.Lost < 20 {
		t.Errorf("too few outcomes were covered: %+v", sum)
	}
}

// Replaying a seed gives the same run.
func TestReplay(t *testing.T) {
	t.Parallel()
	for seed, a := range simulateAll(10) {
		if b := Simulate(Options{Seed: uint64(seed)}); a.Hash != b.Hash {
			t.Errorf("seed %d: hashes of two runs differ: %x and %x", seed, a.Hash, b.Hash)
		}
	}
}
