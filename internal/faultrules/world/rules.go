package world

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"asterwell/internal/faultrules"
)

// Rules holds the invariants that a simulation checks, their first violation, and statistics.
type Rules struct {
	Broken, Detail string
	At             time.Duration

	sets        map[uint32]*set // by version
	turn        uint64          // newest turn that struck
	stopAckedAt time.Duration   // when the last stop was acknowledged; 0 for never

	afterStrike func(*Proc) // test hook, called after each strike

	stopTurn     uint64          // sets of lower turns are stopped
	stopAllowed  map[uint32]bool // sets for which a stop was sent
	unnamedStops int             // pending stops without a version
	ackedStops   map[uint32]bool // versions with an acknowledged stop
	ackedTurn    uint64          // newest acknowledged turn

	Requests, Strikes, Messages int
	Others                      int // requests of the other tenant
	OthersStruck                int
	Missed                      int // selected by a rule in force, but no strike was granted in time
	Void                        int // selected, but not recorded in time
	OverBudget, AfterEnd        int
	AfterStop                   time.Duration // longest time from a stop's acknowledgement to a later strike
	Stops, Reads                int
}

// set is a rule set that was put, with the answers and strikes seen for it.
type set struct {
	ackedAt time.Duration
	rules   []faultrules.Rule
	struck  map[string]int

	body          []byte
	ackedBody     string // the acknowledged body
	refusedBodies map[string]bool
}

// The tenants. Rules apply to Struck only.
const (
	Struck = "shipper-1"
	other  = "shipper-10" // has Struck as a prefix
)

// violate records the first violation of an invariant, which ends the simulation.
func (w *World) violate(rule, form string, args ...any) {
	if w.Broken == "" {
		w.Broken, w.At, w.Detail = rule, w.now, fmt.Sprintf(form, args...)
	}
}

// Put sends a rule set to a process. done may be nil.
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
	of := &set{rules: rules, struck: map[string]int{}, body: body, refusedBodies: map[string]bool{}}
	w.sets[w.version] = of
	if w.unnamedStops > 0 {
		w.allowStop(w.version)
	}
	p.call(faultrules.OpPut, doc, func(a faultrules.Answer) {
		if a.Outcome == faultrules.Done && a.State.Version == doc.Version && !a.State.Stopped {
			of.ackedAt = w.now
			w.ackedTurn = max(w.ackedTurn, a.State.Turn)
		}
		w.checkPutAnswer(of, body, a)
		if done != nil {
			done(a)
		}
	})
}

// Again sends an earlier set again, or a different body under its version.
func (w *World) Again(p *Proc, version uint32, other bool) {
	of := w.sets[version]
	body := of.body
	if other {
		body = bytes.Replace(body, []byte(`"exercise"`), []byte(`"another exercise"`), 1)
	}
	p.call(faultrules.OpPut, faultrules.Doc{Version: version, Body: body}, func(a faultrules.Answer) { w.checkPutAnswer(of, body, a) })
}

// checkPutAnswer checks that only one body is acknowledged for a version, and that an acknowledged
// body is never refused.
func (w *World) checkPutAnswer(of *set, body []byte, a faultrules.Answer) {
	text := string(body)
	switch a.Outcome {
	case faultrules.Done:
		if of.ackedBody != "" && of.ackedBody != text {
			w.violate("TEXTS", "two texts of one number are acknowledged: %s and %s", of.ackedBody, text)
		}
		if of.ackedBody = text; of.refusedBodies[text] {
			w.violate("TEXTS", "%s was refused, and is acknowledged", text)
		}
	case faultrules.Below:
		if of.refusedBodies[text] = true; of.ackedBody == text {
			w.violate("REFUSED", "%s was acknowledged, and is refused", text)
		}
	}
}

// Stop stops the set that is committed when the call arrives.
func (w *World) Stop(p *Proc, done func(faultrules.Answer)) {
	for v := range w.sets {
		w.allowStop(v)
	}
	w.unnamedStops++
	w.stop(p, 0, func(a faultrules.Answer) {
		w.unnamedStops--
		if done != nil {
			done(a)
		}
	})
}

// StopOf stops the set with this version, whether or not it is the newest.
func (w *World) StopOf(p *Proc, version uint32, done func(faultrules.Answer)) {
	w.allowStop(version)
	w.stop(p, version, done)
}

func (w *World) allowStop(version uint32) { w.stopAllowed[version] = true }

func (w *World) stop(p *Proc, version uint32, done func(faultrules.Answer)) {
	p.call(faultrules.OpStop, faultrules.Doc{Version: version}, func(a faultrules.Answer) {
		switch a.Outcome {
		case faultrules.Done:
			w.stopAckedAt, w.stopTurn = w.now, max(w.stopTurn, a.State.Turn)
			w.ackedTurn = max(w.ackedTurn, a.State.Turn)
			w.Stops++
			w.ackedStops[version] = true
		case faultrules.Absent:
			if version > 0 && w.ackedStops[version] {
				w.violate("REFUSED", "the stop of set %d was acknowledged, and is refused", version)
			}
		}
		w.checkStopRequested(a)
		if done != nil {
			done(a)
		}
	})
}

// checkStopRequested checks that a stopped set is one for which a stop was sent.
func (w *World) checkStopRequested(a faultrules.Answer) {
	if s := a.State; s.Stopped && s.Version > 0 && !w.stopAllowed[s.Version] {
		w.violate("SPARED", "set %d is stopped, and nobody asked for it", s.Version)
	}
}

// Read asks a process for the status of the rules, and checks that the answer includes every change
// acknowledged before the call.
func (w *World) Read(p *Proc, done func(faultrules.Answer)) {
	floor := w.ackedTurn
	p.call(faultrules.OpGet, faultrules.Doc{}, func(a faultrules.Answer) {
		if a.Outcome == faultrules.Read {
			w.Reads++
			if a.State.Turn < floor {
				w.violate("STALE", "%s reads turn %d, %d was acknowledged", p.Name, a.State.Turn, floor)
			}
		}
		w.checkStopRequested(a)
		if done != nil {
			done(a)
		}
	})
}

// scheduleReads reads the status from each process in turn.
func (w *World) scheduleReads(pace time.Duration) {
	n := 0
	w.every(pace, func() {
		n++
		if p := w.procs[n%len(w.procs)]; p.up {
			w.Read(p, nil)
		}
	})
}

func (p *Proc) call(op faultrules.Op, doc faultrules.Doc, done func(faultrules.Answer)) {
	p.lastCall++
	id := p.lastCall
	p.calls[id] = done
	p.input(func() faultrules.Out { return p.m.Call(p.clock(), id, op, doc) })
}

// Traffic periodically sends each process a request of the struck tenant and one of another. to, if
// set, selects the processes.
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
				w.violate("OTHERS", "%s strikes %s", p.Name, other)
			}
			p.strike(id, w.now, nil)
		}
	})
}

// strike handles a request as the data plane does, waiting for a granted strike if necessary.
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
		p.applyWhenRecorded(s, q, w.now)
	case v == faultrules.Short && w.now-since >= strikeTimeout:
		w.Missed++
	case v == faultrules.Short:
		leave := p.judge.Queue(s.Rule)
		p.hurry()
		p.retrySoon(func() { p.strike(id, since, leave) })
	}
}

// applyWhenRecorded waits until a strike is recorded, and then applies it.
func (p *Proc) applyWhenRecorded(s faultrules.Strike, q faultrules.Request, since time.Duration) {
	w := p.w
	switch v := p.judge.Made(p.clock(), s); {
	case v == faultrules.Hit:
		w.struck(p, s)
		if p.judge.Struck(s, q, "ran"); w.afterStrike != nil {
			w.afterStrike(p)
		}
	case v == faultrules.Short && w.now-since < strikeTimeout:
		p.hurry()
		p.retrySoon(func() { p.applyWhenRecorded(s, q, since) })
	default:
		w.Void++
		p.judge.Unmade(s, q, "not made")
	}
}

func (p *Proc) hurry() { p.input(func() faultrules.Out { return p.m.Hurry(p.clock()) }) }

// retrySoon runs do after a short delay, unless the process restarts first.
func (p *Proc) retrySoon(do func()) {
	life := p.life
	p.w.after(max(5*ms, p.frozenUntil-p.w.now), func() {
		switch {
		case !p.up || p.life != life:
		case p.frozen():
			p.retrySoon(do)
		default:
			do()
		}
	})
}

// recorded counts the members that have a note on disk.
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

// struck checks the invariants for an applied strike.
func (w *World) struck(p *Proc, s faultrules.Strike) {
	if n := w.recorded(p.addr, p.incarnation(), s.Seq); n <= len(w.members)/2 {
		w.violate("RECORD", "strike %d of %s, life %d, is on %d of %d disks", s.Seq, p.Name, p.life, n, len(w.members))
	}
	turn, version := p.m.Held()
	w.Strikes++
	p.Strikes++
	of := w.sets[version]
	if turn < w.turn {
		w.violate("ORDER", "%s strikes by set %d after others by set %d", p.Name, turn, w.turn)
	}
	if turn > w.turn {
		w.turn = turn
		for _, o := range w.procs {
			if held, _ := o.m.Held(); o.up && o.settled(p) && held < turn {
				w.violate("ACTIVE", "%s strikes by set %d, which %s does not hold", p.Name, turn, o.Name)
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
			w.violate("BUDGET", "%d strikes of %d by set %d", of.struck[r.Name], r.Budget, turn)
		}
		if of.ackedAt > 0 && w.now > of.ackedAt+r.Ends() {
			w.AfterEnd++
			w.violate("END", "%s strikes %v after the end", p.Name, w.now-of.ackedAt-r.Ends())
		}
	}
	if w.stopAckedAt > 0 && turn < w.stopTurn {
		w.AfterStop = max(w.AfterStop, w.now-w.stopAckedAt)
		if w.now > w.stopAckedAt+faultrules.LeaseFor {
			w.violate("STOP", "%s strikes %v after the stop", p.Name, w.now-w.stopAckedAt)
		}
	}
}

// StruckBy returns the number of strikes by rule "r" of the newest set.
func (w *World) StruckBy() int {
	if s := w.sets[w.version]; s != nil {
		return s.struck["r"]
	}
	return 0
}

// settled reports whether a process has been up and connected to another for long enough that
// membership considers it live.
func (p *Proc) settled(to *Proc) bool {
	w := p.w
	return !p.frozen() && w.now-p.booted > failureTimeout && !w.disconnected(p, to, 0) && w.now-w.topologyChangedAt > failureTimeout
}
