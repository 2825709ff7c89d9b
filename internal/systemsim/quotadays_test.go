package systemsim

import "testing"

// Gateways that lost one holder of the counters and found another, or were cut off and came back, went on with their own
// idea of how much of a tenant's burst was in use. A holder's answers moved it up only by what others had passed since
// the last answer, so nothing ever brought it up to what the holder knew. On the day 701089 every answer told a gateway
// that was back from a cut of 68 to 87 units in use, of a burst of 60, and it reckoned with 51 to 60: it passed 18
// requests in half a second, each other one two. On the day 700507 a gateway sent its sums by way of another one that
// had been cut off meanwhile, and looked for no other way for three seconds, so that nobody counted them.
func TestContactKeepsQuota(t *testing.T) {
	t.Parallel()
	playRecorded(t, "quota-")
}

// A core machine that has just started, and meets only one other, makes shares for these two; on the day 739 it passes
// 80 to 110 units a second of a tenant of 129, while nine gateways that it can't reach pass the rest. The other days
// have up to three changes of holders within two seconds. On the day ready-707 a leaver ends while another of three core machines
// is cut off: one seat is left, and a gateway that has just started takes its word for contact with most of the core.
func TestContactOpen(t *testing.T) {
	t.Parallel()
	playRecorded(t, "open-")
}

// TestDrawnContact plays days on which gateways lose and find each other in every pattern.
func TestDrawnContact(t *testing.T) {
	t.Parallel()
	side(days/4, func(i int) {
		seed := uint64(5001 + i)
		if s := Run(DrawContact(seed), seed, Sound, nil); s.Broken != "" {
			t.Errorf("%v\n%s", s, s.Script)
		}
	})
}

// playRecorded plays the recorded days whose names begin so; each has to keep all rules.
func playRecorded(t *testing.T, prefix string) {
	t.Helper()
	days := recordedDays(t, prefix)
	side(len(days), func(i int) {
		if s := Run(days[i].script, days[i].seed, Sound, nil); s.Broken != "" {
			t.Errorf("%s: %v", days[i].name, s)
		}
	})
}
