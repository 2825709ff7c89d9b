package systemsim

import (
	"testing"
	"time"
)

// TestReturn: a machine of the core that missed changes has its seat and the newest again while ten changes a second go on.
func TestReturn(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"kill", "wipe", "putback"} {
		for i, who := range []string{"primary", "backup", "witness"} {
			t.Run(how+" "+who, func(t *testing.T) {
				t.Parallel()
				b := Return(Away{How: how, Who: who, Changes: 30, Storm: true, Routes: 30, Sync: 5 * ms, Seed: uint64(i + 1)})
				t.Logf("%s %s: body %d, seat %v, newest %v, bytes %d, acks %v, %d passed", how, who, b.Body, b.Seat, b.Newest, b.Bytes, b.AckWorst, b.StormPassed)
				if b.Never != "" || b.Seat > 5*time.Second || b.Newest > 5*time.Second {
					t.Errorf("%s %s: %+v", how, who, b)
				}
			})
		}
	}
}
