package systemsim

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Loss is what a system has to recover from.
type Loss string

// The losses. Each comes within 10 ms of a configuration's acknowledgement.
const (
	AllKilled   Loss = "all processes killed"
	PowerLost   Loss = "all power lost"
	DiskWiped   Loss = "a core disk wiped"
	PrimaryLost Loss = "the primary lost"
)

// Losses are all of them.
var Losses = []Loss{AllKilled, PowerLost, DiskWiped, PrimaryLost}

// Phases of a recovery, in the order in which they usually end.
var Phases = []string{"epoch agreed", "servers known", "ready", "quarter served"}

// Recovery is what was measured of one.
type Recovery struct {
	Loss  Loss
	Nodes int
	Ends  []time.Duration // of the phases, since the first machine came back, or the primary was lost; below 0: never
	Stats Stats
}

// Recover plays one loss, under load. A phase has ended once it holds for good.
func Recover(f Fleet, loss Loss) Recovery {
	w := newWorld(f.Seed, Sound, nil)
	r := &recoverer{Recovery: Recovery{Loss: loss, Nodes: f.Nodes}, w: w}
	r.play(f)
	w.close()
	w.stats.Length, w.stats.Hash = w.now, w.hash()
	r.Stats = w.stats
	return r.Recovery
}

type recoverer struct {
	Recovery
	w       *world
	zero    time.Duration // times count from then
	one     *proc         // the machine that it is about; nil: all
	lost    *proc         // the one that it is not about
	epoch   uint64        // that was
	servers int
	win     Stats // at the last window's begin
	since   time.Duration
	good    bool // a quarter was served in the last whole window
}

const (
	awayFor   = time.Second
	powerBack = 2 * time.Second // machines come back within it
	windowFor = 250 * ms
	watched   = recovery + 3*time.Second
)

func (r *recoverer) play(f Fleet) {
	w := r.w
	w.must(fmt.Sprintf("start %d zones 3 core %d", f.Nodes, f.Core))
	w.losses = f.Losses
	r.servers = f.Servers
	for i := range f.Servers {
		w.serve(services[i%len(services)], "")
	}
	offer := each * float64(f.Nodes) / 3
	for i := range 3 {
		w.must(fmt.Sprintf("tenant t%d %.0f %.0f %.1f", i+1, math.Ceil(2*offer), math.Ceil(2*offer), offer))
	}
	w.must("run 1s ; put 1 ; expect everywhere 1 within 9s ; run 3s")
	if p := w.leader(); p != nil {
		r.epoch = p.k.ConsensusStatus().Epoch
	}
	w.must("slow core 8 ; put 2 ; expect acked 2 within 4s")
	r.lose()
	w.must("slow core 1")
	r.watch()
}

// lose carries out the loss; zero is when the first machine is back.
func (r *recoverer) lose() {
	w := r.w
	back := awayFor // of the first of them
	switch r.Loss {
	case AllKilled:
		w.must("kill all for " + awayFor.String())
	case PowerLost:
		var old []*server
		for _, s := range w.servers {
			if s.up {
				s.end()
				old = append(old, s)
			}
		}
		w.must("kill all")
		for _, p := range w.procs {
			w.after(awayFor+w.upTo(powerBack), func() { w.change(func() { p.boot(); w.hit(p) }) })
		}
		for _, s := range old {
			w.after(awayFor+w.upTo(powerBack), func() { w.serve(s.service, s.addr) })
		}
	case DiskWiped:
		r.one = w.byName["core2"]
		w.must("wipe core2 for " + awayFor.String())
	case PrimaryLost:
		back, r.lost = 0, w.leader()
		w.must("kill leader for 5s")
	}
	w.run(back + ms)
	r.zero = w.now - ms
	r.win, r.since = w.stats, w.now
}

// watch lets time pass, and notes since when each phase holds.
func (r *recoverer) watch() {
	w := r.w
	holds := []func() bool{r.agreed, r.known, r.ready, func() bool { return r.good }}
	r.Ends = make([]time.Duration, len(holds))
	for i := range r.Ends {
		r.Ends[i] = -1
	}
	for w.now-r.zero < watched && w.stats.Broken == "" {
		w.run(10 * ms)
		r.serve()
		for i, ok := range holds {
			if !ok() {
				r.Ends[i] = -1
			} else if r.Ends[i] < 0 {
				r.Ends[i] = w.now - r.zero
			}
		}
	}
}

// all tells whether those that the loss is about run, and something holds for each.
func (r *recoverer) all(ok func(p *proc) bool) bool {
	of := r.w.procs
	if r.one != nil {
		of = []*proc{r.one}
	}
	return !slices.ContainsFunc(of, func(p *proc) bool { return p != r.lost && !(p.up && ok(p)) })
}

// agreed: everybody has the primary of a later epoch, and a wiped machine its seat.
func (r *recoverer) agreed() bool {
	lead := r.w.leader()
	if lead == nil || lead.k.ConsensusStatus().Epoch <= r.epoch {
		return false
	}
	return r.all(func(p *proc) bool {
		s := p.k.ConsensusStatus()
		return s.Primary == lead.addr && (p != r.one || s.Role != "follower")
	})
}

func (r *recoverer) known() bool {
	alive := 0
	for _, s := range r.w.servers {
		if s.up {
			alive++
		}
	}
	return alive >= r.servers && r.all(func(p *proc) bool { return len(p.serves) >= alive })
}

func (r *recoverer) ready() bool { return r.all(func(p *proc) bool { return p.k.Ready() }) }

// serve looks at the traffic of each window.
func (r *recoverer) serve() {
	now := r.w.stats
	if r.w.now-r.since < windowFor {
		return
	}
	owed := now.Requests - r.win.Requests - (now.Refused - r.win.Refused)
	r.good = owed > 0 && 4*(now.Served-r.win.Served) >= owed
	r.win, r.since = now, r.w.now
}

// Late tells what did not end within a bound; empty: nothing.
func (r Recovery) Late(bound time.Duration) string {
	var late []string
	for i, d := range r.Ends {
		if d < 0 || d > bound {
			late = append(late, Phases[i])
		}
	}
	return strings.Join(late, ", ")
}
