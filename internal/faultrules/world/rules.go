package world

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"asterwell/internal/faultrules"
)

// Rules is what is judged, and what came of the day.
type Rules struct {
	Broken, Detail string
	At             time.Duration

	sets    map[uint32]*set // by version
	turn    uint64          // the newest that struck
	stopped time.Duration   // when the last stop was acknowledged; 0: not since a put

	afterStrike func(*Proc) // what a test does right after a strike

	stopTurn uint64          // every set before it is stopped
	meant    map[uint32]bool // sets that a stop was sent for
	open     int             // stops under way that named none
	ended    map[uint32]bool // by an acknowledged stop
	told     uint64          // the newest turn that an acknowledgement told

	Requests, Strikes, Messages int
	Others                      int // requests of others
	OthersStruck                int
	Missed                      int // drawn, in force, and gone without a strike for want of a part
	Void                        int // drawn, and not on record in time
	OverBudget, AfterEnd        int
	AfterStop                   time.Duration // the latest strike after a stop's acknowledgement
	Stops, Reads                int
}

type set struct {
	ack    time.Duration
	rules  []faultrules.Rule
	struck map[string]int

	body   []byte
	taken  string // the text that was acknowledged
	denied map[string]bool
}

const (
	Struck = "shipper-1"
	other  = "shipper-10" // the first is its beginning
)

func (w *World) breaks(rule, form string, args ...any) {
	if w.Broken == "" {
		w.Broken, w.At, w.Detail = rule, w.now, fmt.Sprintf(form, args...)
	}
}

// Put sends a set to a process; done may be nil.
func (w *World) Put(p *Proc, rules []faultrules.Rule, done func(faultrules.Answer)) {
	w.version++
	body, err := json.Marshal(faultrules.Set{Version: w.version, By: "op", Why: "exercise", Rules: rules})
	if err != nil {
		panic(err)
	}
	doc := faultrules.Doc{Version: w.version, Body: body}
	if w.sets == nil {
		w.sets = map[uint32]*set{}
	}
	of := &set{rules: rules, struck: map[string]int{}, body: body, denied: map[string]bool{}}
	w.sets[w.version] = of
	if w.open > 0 {
		w.mean(w.version)
	}
	p.call(faultrules.OpPut, doc, func(a faultrules.Answer) {
		if a.Outcome == faultrules.Done && a.State.Version == doc.Version && !a.State.Stopped {
			of.ack = w.now
			w.told = max(w.told, a.State.Turn)
		}
		w.judged(of, body, a)
		if done != nil {
			done(a)
		}
	})
}

// Again sends one of the sets once more, or another text under its number.
func (w *World) Again(p *Proc, version uint32, other bool) {
	of := w.sets[version]
	body := of.body
	if other {
		body = bytes.Replace(body, []byte(`"exercise"`), []byte(`"another exercise"`), 1)
	}
	p.call(faultrules.OpPut, faultrules.Doc{Version: version, Body: body}, func(a faultrules.Answer) { w.judged(of, body, a) })
}

// judged: of a number one text is acknowledged, and what was is never refused.
func (w *World) judged(of *set, body []byte, a faultrules.Answer) {
	text := string(body)
	switch a.Outcome {
	case faultrules.Done:
		if of.taken != "" && of.taken != text {
			w.breaks("TEXTS", "two texts of one number are acknowledged: %s and %s", of.taken, text)
		}
		if of.taken = text; of.denied[text] {
			w.breaks("TEXTS", "%s was refused, and is acknowledged", text)
		}
	case faultrules.Below:
		if of.denied[text] = true; of.taken == text {
			w.breaks("REFUSED", "%s was acknowledged, and is refused", text)
		}
	}
}

// Stop stops whatever set is kept when the call comes to a process.
func (w *World) Stop(p *Proc, done func(faultrules.Answer)) {
	for v := range w.sets {
		w.mean(v)
	}
	w.open++
	w.stop(p, 0, func(a faultrules.Answer) {
		w.open--
		if done != nil {
			done(a)
		}
	})
}

// StopOf stops a set, whether it is the newest or another one by then.
func (w *World) StopOf(p *Proc, version uint32, done func(faultrules.Answer)) {
	w.mean(version)
	w.stop(p, version, done)
}

func (w *World) mean(version uint32) { w.meant[version] = true }

func (w *World) stop(p *Proc, version uint32, done func(faultrules.Answer)) {
	p.call(faultrules.OpStop, faultrules.Doc{Version: version}, func(a faultrules.Answer) {
		switch a.Outcome {
		case faultrules.Done:
			w.stopped, w.stopTurn = w.now, max(w.stopTurn, a.State.Turn)
			w.told = max(w.told, a.State.Turn)
			w.Stops++
			w.ended[version] = true
		case faultrules.Absent:
			if version > 0 && w.ended[version] {
				w.breaks("REFUSED", "the stop of set %d was acknowledged, and is refused", version)
			}
		}
		w.spared(a)
		if done != nil {
			done(a)
		}
	})
}

// spared: no set is stopped but those that a stop was sent for.
func (w *World) spared(a faultrules.Answer) {
	if s := a.State; s.Stopped && s.Version > 0 && !w.meant[s.Version] {
		w.breaks("SPARED", "set %d is stopped, and nobody asked for it", s.Version)
	}
}

// Read asks a process how the rules stand: an answer must know of all that was acknowledged
// before.
func (w *World) Read(p *Proc, done func(faultrules.Answer)) {
	floor := w.told
	p.call(faultrules.OpGet, faultrules.Doc{}, func(a faultrules.Answer) {
		if a.Outcome == faultrules.Read {
			w.Reads++
			if a.State.Turn < floor {
				w.breaks("STALE", "%s reads turn %d, %d was acknowledged", p.Name, a.State.Turn, floor)
			}
		}
		w.spared(a)
		if done != nil {
			done(a)
		}
	})
}

// reads has one process after the other asked.
func (w *World) reads(pace time.Duration) {
	n := 0
	w.every(pace, func() {
		n++
		if p := w.procs[n%len(w.procs)]; p.up {
			w.Read(p, nil)
		}
	})
}

func (p *Proc) call(op faultrules.Op, doc faultrules.Doc, done func(faultrules.Answer)) {
	p.last++
	id := p.last
	p.calls[id] = done
	p.input(func() faultrules.Out { return p.m.Call(p.clock(), id, op, doc) })
}

// Traffic sends each process requests at a pace, of the struck tenant and of another.
func (w *World) Traffic(pace time.Duration, to func(*Proc) bool) {
	w.every(pace, func() {
		for _, p := range w.procs {
			if !p.up || p.frozen() || to != nil && !to(p) {
				continue
			}
			w.Requests++
			w.Others++
			id := fmt.Sprintf("r%d", w.Requests)
			if _, v := p.judge.Strike(p.clock(), faultrules.Request{ID: id, Tenant: other, Route: "renominate", Method: "POST"}); v != faultrules.Pass {
				w.OthersStruck++
				w.breaks("OTHERS", "%s strikes %s", p.Name, other)
			}
			p.strike(id, w.now, nil)
		}
	})
}

// strike is what the data plane does with a request, waiting for a part if it must.
func (p *Proc) strike(id string, since time.Duration, leave func()) {
	w := p.w
	q := faultrules.Request{ID: id, Tenant: Struck, Route: "renominate", Method: "POST"}
	s, v := p.judge.Strike(p.clock(), q)
	if leave != nil {
		leave()
	}
	switch {
	case v == faultrules.Hit:
		p.hurry()
		p.made(s, q, w.now)
	case v == faultrules.Short && w.now-since >= patience:
		w.Missed++
	case v == faultrules.Short:
		leave := p.judge.Queue(s.Rule)
		p.hurry()
		p.soon(func() { p.strike(id, since, leave) })
	}
}

// made waits until a strike is on record, and lets it befall its request.
func (p *Proc) made(s faultrules.Strike, q faultrules.Request, since time.Duration) {
	w := p.w
	switch v := p.judge.Made(p.clock(), s); {
	case v == faultrules.Hit:
		w.struck(p, s)
		if p.judge.Struck(s, q, "ran"); w.afterStrike != nil {
			w.afterStrike(p)
		}
	case v == faultrules.Short && w.now-since < patience:
		p.hurry()
		p.soon(func() { p.made(s, q, since) })
	default:
		w.Void++
		p.judge.Unmade(s, q, "not made")
	}
}

func (p *Proc) hurry() { p.input(func() faultrules.Out { return p.m.Hurry(p.clock()) }) }

func (p *Proc) soon(do func()) {
	life := p.life
	p.w.after(max(5*ms, p.thaws-p.w.now), func() {
		switch {
		case !p.up || p.life != life:
		case p.frozen():
			p.soon(do)
		default:
			do()
		}
	})
}

// recorded is how many members have a note of a life on their disks.
func (w *World) recorded(addr string, life, seq uint64) (n int) {
	for _, p := range w.procs {
		for _, e := range p.log {
			if e.Addr == addr && e.Life == life && e.Note.Seq == seq {
				n++
				break
			}
		}
	}
	return n
}

func (w *World) struck(p *Proc, s faultrules.Strike) {
	if n := w.recorded(p.addr, p.number(), s.Seq); n <= len(w.members)/2 {
		w.breaks("RECORD", "strike %d of %s, life %d, is on %d of %d disks", s.Seq, p.Name, p.life, n, len(w.members))
	}
	turn, version := p.m.Held()
	w.Strikes++
	p.Strikes++
	of := w.sets[version]
	if turn < w.turn {
		w.breaks("ORDER", "%s strikes by set %d after others by set %d", p.Name, turn, w.turn)
	}
	if turn > w.turn {
		w.turn = turn
		for _, o := range w.procs {
			if held, _ := o.m.Held(); o.up && o.settled(p) && held < turn {
				w.breaks("ACTIVE", "%s strikes by set %d, which %s does not hold", p.Name, turn, o.Name)
			}
		}
	}
	of.struck[s.Rule]++
	for _, r := range of.rules {
		if r.Name != s.Rule {
			continue
		}
		if of.struck[r.Name] > r.Budget {
			w.OverBudget++
			w.breaks("BUDGET", "%d strikes of %d by set %d", of.struck[r.Name], r.Budget, turn)
		}
		if of.ack > 0 && w.now > of.ack+r.Ends() {
			w.AfterEnd++
			w.breaks("END", "%s strikes %v after the end", p.Name, w.now-of.ack-r.Ends())
		}
	}
	if w.stopped > 0 && turn < w.stopTurn {
		w.AfterStop = max(w.AfterStop, w.now-w.stopped)
		if w.now > w.stopped+faultrules.LeaseFor {
			w.breaks("STOP", "%s strikes %v after the stop", p.Name, w.now-w.stopped)
		}
	}
}

// StruckBy is what rule r of the newest set has struck.
func (w *World) StruckBy() int {
	if s := w.sets[w.version]; s != nil {
		return s.struck["r"]
	}
	return 0
}

// settled: it has run for a while, as has its way to another, and membership knows that.
func (p *Proc) settled(to *Proc) bool {
	w := p.w
	return !p.frozen() && w.now-p.booted > gone && !w.apart(p, to, 0) && w.now-w.changed > gone
}
