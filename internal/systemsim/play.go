package systemsim

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Times are measured ones.
type Times []time.Duration

func (t *Times) add(d time.Duration) { *t = append(*t, d) }

// Of is the time that such a part of all stays within.
func (t Times) Of(part float64) time.Duration {
	if len(t) == 0 {
		return 0
	}
	all := slices.Sorted(slices.Values(t))
	return all[min(int(part*float64(len(all))), len(all)-1)]
}

// Stats is what came of a day.
type Stats struct {
	Seed   uint64
	Script string
	Broken string // the rule; "" for none
	At     time.Duration
	Detail string
	Hash   uint64

	Length                              time.Duration
	Events, Messages                    int
	Requests, Served, Refused, Reads    int
	Proofs                              int     // of contact
	Drains                              int     // orders to drain, or to end that, that were acknowledged
	Heals                               Times   // from a cut's end until those parted have what was newest
	Spared                              int     // spans in which a tenant had to get what is its own
	Epochs, Changes                     int     // begun since the first; by another machine than before
	Fences                              int     // members whose disk was older than what it had vouched for
	Fill                                float64 // the most of a quota's bound that was used
	Acks, Leaves, Takeovers, Recoveries Times
	Ends                                Times // of core processes told to end
	Handovers                           Times // until an epoch is in force in which such a one does not write
	Restored                            Times // until a machine that lost its disk, or is new, has a seat
	Mends                               Times // from the end of all troubles until all have what was newest then

	Calls []Call // of operators
}

func (s Stats) String() string {
	if s.Broken == "" {
		return fmt.Sprintf("seed %d: %v, %d requests, all rules kept", s.Seed, s.Length, s.Requests)
	}
	return fmt.Sprintf("seed %d: %s broken at %v: %s", s.Seed, s.Broken, s.At.Round(ms), s.Detail)
}

// Play plays the day that a seed draws.
func Play(seed uint64) Stats { return Run(Draw(seed), seed, Sound, nil) }

// Run plays a script to its end, and what every day ends with: all is mended, and the
// configuration read back. trace may be nil.
func Run(script string, seed uint64, bug Bug, trace func(string)) Stats {
	w := newWorld(seed, bug, trace)
	w.stats.Script = script
	for i, line := range strings.Split(script, "\n") {
		if w.stats.Broken != "" {
			break
		}
		if err := w.command(line); err != nil {
			w.breaks("SCRIPT", "line %d: %v", i+1, err)
		}
	}
	w.close()
	w.left()
	w.stats.Length, w.stats.Hash = w.now, w.hash()
	return w.stats
}

// close is a day's end.
func (w *world) close() {
	if w.stats.Broken != "" || len(w.procs) == 0 {
		return
	}
	w.mend()
	w.run(4 * time.Second)
	w.lastRead = 0
	for range 16 {
		all := w.listed()
		w.read(all[w.rng.IntN(len(all))])
		w.run(300 * ms)
	}
	w.run(4 * time.Second)
	if w.stats.Broken != "" {
		return
	}
	if w.acked > 0 && w.lastRead < w.acked {
		w.breaks("LOST", "version %d is not read back", w.acked)
	}
	if w.acked > 0 && len(w.servers) > 0 && 10*w.lastWindow.served < 9*w.lastWindow.owed {
		w.breaks("RECOVER", "%d of %d requests served when all is well", w.lastWindow.served, w.lastWindow.owed)
	}
	w.checkList()
}

// mend ends all troubles.
func (w *world) mend() {
	w.change(func() {
		w.note("all is mended")
		parted := w.parted()
		clear(w.cuts)
		for l := range w.holds {
			w.release(w.byAddr[l[0]], w.byAddr[l[1]])
		}
		w.healed(parted)
		for _, s := range w.servers {
			s.mute, s.grey = 0, 0
		}
		for _, p := range w.procs {
			if p.gone {
				continue
			}
			p.lossy, p.deaf, p.darkBy = 0, 0, nil
			if p.disk != nil {
				p.disk.pace = w.pace
			}
			if p.frozen() {
				p.thaws = 0
				p.thaw(p.life)
			}
			p.boot()
		}
	})
}

// change marks what holds before and after.
func (w *world) change(do func()) {
	w.mark()
	do()
	w.mark()
}

// Failing is what a broken rule means for the control side, in the words of its report; "" for none.
// A rule of the traffic has its own name, in small letters.
func (s Stats) Failing() string {
	switch {
	case s.Broken == "EXPECT" && strings.HasPrefix(s.Detail, "acked"), s.Broken == "COMMIT":
		return "no_quorum_within_budget"
	case s.Broken == "EXPECT", s.Broken == "READY", s.Broken == "LIST":
		return "never_caught_up"
	case s.Broken == "LOST":
		return "acknowledged_lost"
	case s.Broken == "CONFIG":
		return "stale_answers"
	case s.Broken == "TEXTS":
		return "two_texts"
	case s.Broken == "LED":
		return "led_old"
	case s.Broken == "REFUSED":
		return "refused_again"
	}
	return strings.ToLower(s.Broken)
}
