package world

import (
	"os"
	"strconv"
	"testing"
	"time"
)

func TestTrace(t *testing.T) {
	s, err := strconv.Atoi(os.Getenv("SEED"))
	if err != nil {
		t.Skip()
	}
	r := Play(Options{Seed: uint64(s), Trace: func(at time.Duration, text string) { t.Logf("%v %s", at, text) }})
	t.Log(r.Broken)
}
