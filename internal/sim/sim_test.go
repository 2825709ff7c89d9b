package sim

import (
	"fmt"
	"io"
	"log"
	"os"
	"testing"
	"time"
)

func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}

func TestSeeds(t *testing.T) {
	count := 200
	if testing.Short() {
		count = 20
	}
	sum := Seeds(1, count, 4, 0, nil, nil)
	for _, r := range sum.Failing {
		t.Errorf("seed %d: %s after %v: %s", r.Seed, r.Broken, r.At, r.Detail)
	}
	fmt.Println(sum.Seeds, "seeds", sum.Took.Round(time.Millisecond), sum.Requests, "requests", sum.Steps, "steps", sum.Virtual)
}
