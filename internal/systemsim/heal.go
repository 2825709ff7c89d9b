package systemsim

import (
	"slices"
	"time"

	"asterwell/internal/consensus"
	"asterwell/internal/registry"
)

func proved(v any) (uint32, bool) {
	a, ok := v.(consensus.Answer)
	return a.Version, ok && a.Result == consensus.ResultContact
}

// heal is a cut that has ended, until all that it parted have what was newest then.
type heal struct {
	at      time.Duration
	version uint32
	lack    []*proc
}

// healed begins to measure.
func (w *world) healed(who []*proc) {
	h := &heal{at: w.now, version: w.acked}
	for _, p := range who {
		if p.up && !p.frozen() && !slices.Contains(h.lack, p) {
			h.lack = append(h.lack, p)
		}
	}
	w.heals = append(w.heals, h)
	w.heed()
}

// heed notes who has what they lacked. Whoever ends or is parted again counts no more.
func (w *world) heed() {
	w.heals = slices.DeleteFunc(w.heals, func(h *heal) bool {
		h.lack = slices.DeleteFunc(h.lack, func(p *proc) bool {
			return !p.up || p.frozen() || p.version >= h.version || w.now > h.at && w.lonely(p)
		})
		if len(h.lack) == 0 {
			w.stats.Heals.add(w.now - h.at)
		}
		return len(h.lack) == 0
	})
}

// lonely tells whether a process is still without a way to some of the core that counts, or
// none of it does.
func (w *world) lonely(p *proc) bool {
	counts := slices.DeleteFunc(w.core(), func(c *proc) bool { return !w.most(c) })
	return len(counts) == 0 || slices.ContainsFunc(counts, func(c *proc) bool { return c != p && w.apart(p, c) })
}

// checkPromise: a server is let go only where most of the core knows that it leaves. By who is
// in touch it may be, and then DRAIN binds. One of the core that has ended since the server asked may
// have known, and said so before.
func (w *world) checkPromise(s *server, by *proc) {
	if w.inTouch(by) {
		return
	}
	knows, core := 0, w.core()
	for _, c := range core {
		if c.ended >= s.leaves || c.up && slices.ContainsFunc(c.k.Servers(), func(o registry.Server) bool { return o.ID == s.id && o.Phase >= registry.Quiescing }) {
			knows++
		}
	}
	if 2*knows <= len(core) {
		w.breaks("PROMISE", "%s says that %s may leave, and %d of %d of the core know of it", by.name, s.id, knows, len(core))
	}
}

// checkReady: a start alone makes nobody ready.
func (w *world) checkReady() {
	for _, p := range w.procs {
		if p.up && !p.frozen() && p.k.Ready() && p.met < p.start {
			w.breaks("READY", "%s calls itself ready, and has had no way to most of the core since it was started", p.name)
		}
	}
}

// link is a way from one machine to another.
type link [2]string

// holding keeps what is sent on a link until it is open again: as in the buffers of a
// network that comes back, or of one whose taker stood still.
type holding struct{ ice []func() }

func (w *world) hold(from, to *proc) {
	if l := (link{from.addr, to.addr}); w.holds[l] == nil {
		w.holds[l] = &holding{}
		if from.core && to.core {
			w.touch.core = w.now
		}
	}
}

func (w *world) release(from, to *proc) {
	l := link{from.addr, to.addr}
	h := w.holds[l]
	if h == nil {
		return
	}
	delete(w.holds, l)
	for _, do := range h.ice {
		w.after(100*time.Microsecond, do)
	}
	if from.core && to.core {
		w.touch.core = w.now
	}
}

// raise lets a core machine start with a promise above all others': it was about to follow a
// primary when it was cut off, and the others never heard of it.
func (w *world) raise(p *proc, by uint64) {
	p.end()
	if d := p.disk.open(); d != nil {
		d.Promised = consensus.Ballot{N: d.Promised.N + by, By: p.addr, DiskID: d.DiskID}
		p.disk.keep(d)
	}
	p.boot()
}
