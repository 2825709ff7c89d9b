package world

import (
	"os"
	"strconv"
	"testing"
)

// plays is how many seeds; PLAYS in the environment asks for more.
func plays() int {
	if n, err := strconv.Atoi(os.Getenv("PLAYS")); err == nil {
		return n
	}
	return 200
}

// Drawn faults, disks included: one outcome a change, one policy at a time over
// all gateways, and in the end all serve by the newest.
func TestSeeds(t *testing.T) {
	var sum Result
	for seed := range uint64(plays()) {
		r := Play(Options{Seed: seed})
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
		t.Errorf("the plays show too little: %+v", sum)
	}
}

// A seed plays the same each time.
func TestReplay(t *testing.T) {
	for seed := range uint64(10) {
		if a, b := Play(Options{Seed: seed}), Play(Options{Seed: seed}); a.Hash != b.Hash {
			t.Errorf("seed %d: %x and %x", seed, a.Hash, b.Hash)
		}
	}
}
