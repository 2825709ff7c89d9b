package systemsim

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"asterwell/internal/controlplane"
	"asterwell/internal/fsm"
)

// world is one day.
type world struct {
	rng   *rand.Rand
	now   time.Duration
	queue fsm.EventQueue
	order uint64
	bug   Bug
	wire  bool // messages are encoded and decoded on their way
	trace func(string)
	gauge *gauge // nil: nothing is measured

	processor *processor               // nil: all is done at once
	lore      map[*proc]*[4]int        // news and Acks sent, frames of them taken, bytes sent; nil: not counted
	pad       int                      // bytes that configurations are made up to
	readings  *controlplane.ParseCache // that all share
	still     bool                     // clients send nothing
	sum       *xxhash.Digest

	procs  []*proc // in order of their first start
	byAddr map[string]*proc
	byName map[string]*proc
	seeds  []string
	losses int
	pace   time.Duration          // of a sync, where no disk is in trouble
	cuts   map[link][]*cut        // from, to: those that lie on it, the oldest first
	torn   map[link]time.Duration // when the connection was last reset
	holds  map[link]*holding
	led    *proc // the leader at the last raise
	heals  []*heal
	ruling ruling
	lists  []lagged // of processes that serve control, as callers see them

	orders    map[uint32]*order
	hook      string  // command to run after the next acknowledgement, and
	acker     *proc   // by whom
	acked     uint32  // the highest version
	callers   []*proc // whom operators turn to; nil: those that are listed
	operators []*caller
	servers   []*server
	byID      map[string]*server
	tenants   []*tenant
	window    window
	offered   []string // services with a server that serves; nil: to be found
	ready     []*proc  // room for front

	touch touch
	rules rules
	stats Stats

	lastRead   uint32
	lastWindow window
}

func newWorld(seed uint64, bug Bug, trace func(string)) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 0x7a21)), readings: &controlplane.ParseCache{}, bug: bug, wire: seed%8 == 0, pace: 5 * ms, trace: trace, sum: xxhash.New(),
		byAddr: map[string]*proc{}, byName: map[string]*proc{}, cuts: map[link][]*cut{}, holds: map[link]*holding{}, torn: map[link]time.Duration{},
		ruling: ruling{sent: map[uint32]bool{}},
		orders: map[uint32]*order{}, byID: map[string]*server{}}
	w.stats.Seed = seed
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	w.queue.Insert(fsm.Event{At: w.now + d, Sequence: w.order, Run: do})
}

func (w *world) every(d time.Duration, do func()) {
	w.after(d, func() { do(); w.every(d, do) })
}

// run lets time pass, unless a rule is broken.
func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].At <= end && w.stats.Broken == "" {
		e := w.queue.RemoveFirst()
		w.now = e.At
		w.stats.Events++
		e.Run()
	}
	w.now = end
}

// note tells what happens, and makes it part of the day's sum.
func (w *world) note(form string, args ...any) {
	line := fmt.Sprintf("%9.3f ", w.now.Seconds()) + fmt.Sprintf(form, args...)
	w.sum.WriteString(line)
	if w.trace != nil {
		w.trace(line)
	}
}

func (w *world) breaks(rule, form string, args ...any) {
	if w.stats.Broken == "" {
		w.stats.Broken, w.stats.At, w.stats.Detail = rule, w.now, fmt.Sprintf(form, args...)
		w.note("BROKEN %s: %s", rule, w.stats.Detail)
	}
}

// hash is the day's sum: it differs where anything went another way.
func (w *world) hash() uint64 {
	b := binary.BigEndian.AppendUint64(nil, w.order)
	w.sum.Write(binary.BigEndian.AppendUint64(b, w.rng.Uint64()))
	return w.sum.Sum64()
}

// upTo draws a time below d.
func (w *world) upTo(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(max(d, 1))))
}

// lagged is a list as it was.
type lagged struct {
	at   time.Duration
	list []*proc
}

// listed is whom callers may try: the list is up to three seconds old.
func (w *world) listed() []*proc {
	for len(w.lists) > 1 && w.lists[1].at <= w.now-contact {
		w.lists = w.lists[1:]
	}
	return w.lists[w.rng.IntN(len(w.lists))].list
}

// relist notes who runs now.
func (w *world) relist() {
	up := slices.DeleteFunc(slices.Clone(w.procs), func(p *proc) bool { return !p.up || p.leaving })
	if len(up) > 0 {
		w.lists = append(w.lists, lagged{w.now, up})
	}
}

// core is the machines with a disk.
func (w *world) core() []*proc {
	return slices.DeleteFunc(slices.Clone(w.procs), func(p *proc) bool { return !p.core || p.gone })
}

// leader is the process that takes itself for the primary of the newest epoch.
func (w *world) leader() *proc {
	var best *proc
	top := uint64(0)
	for _, p := range w.procs {
		if p.up && p.core {
			if s := p.k.ConsensusStatus(); s.Role == "primary" && s.Epoch > top {
				best, top = p, s.Epoch
			}
		}
	}
	return best
}
