package daemon

import (
	"cmp"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"asterwell/internal/dataplane"
	"asterwell/internal/faultrules"
)

// strikeLine is a strike in the answer of GET /api/strikes.
type strikeLine struct {
	At                        time.Time // wall clock time
	AgoMs                     int64     // by the monotonic clock, where the strike was made in this process
	Rule, Effect              string
	Tenant, Route, Method, ID string
	DelayMs                   float64 `json:",omitempty"`
	Node, Outcome             string
	Life, Seq                 uint64 // identify the strike among those of the node
}

// outcomePending is the outcome of a strike whose end isn't recorded yet.
const outcomePending = "under way"

// faultInjector applies the fault rules to requests.
type faultInjector struct {
	process     *Process
	incarnation uint64
	mu          sync.Mutex
	recent      []strikeLine
}

const (
	maxRecentStrikes   = 1000 // in memory; the disks of the core and the log hold them too
	strikeTimeout      = 500 * time.Millisecond
	strikePollInterval = 5 * time.Millisecond
)

func (p *Process) newInjector(incarnation uint64) dataplane.FaultInjector {
	if p.maxRuleLifetime() == 0 {
		return nil
	}
	p.injector = &faultInjector{process: p, incarnation: incarnation}
	return p.injector
}

// Active reports whether there are rules.
func (f *faultInjector) Active() bool { return f.process.ruleJudge.On() }

// requestStrikes tells the control loop that requests wait for strikes, or for the record.
func (f *faultInjector) requestStrikes() {
	if !f.process.strikesPending.Swap(true) {
		f.process.inbox.Put(strikesWanted{})
	}
}

// Select decides whether a rule applies to a request. If one does and no strike of the budget is available
// here, it waits for one.
func (f *faultInjector) Select(q faultrules.Request, left time.Duration) (faultrules.Strike, bool) {
	p := f.process
	at := time.Now()
	q.At = at.UnixMilli()
	s, verdict := p.ruleJudge.Strike(p.now(), q)
	for end := p.now() + min(strikeTimeout, left/2); verdict == faultrules.Short && p.now() < end; {
		leaveQueue := p.ruleJudge.Queue(s.Rule)
		f.requestStrikes()
		time.Sleep(strikePollInterval)
		s, verdict = p.ruleJudge.Strike(p.now(), q)
		leaveQueue()
	}
	if verdict != faultrules.Hit {
		return s, false
	}
	f.requestStrikes()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.recent = append(f.recent, f.newLine(q, s, outcomePending)); len(f.recent) > maxRecentStrikes {
		f.recent = append([]strikeLine(nil), f.recent[len(f.recent)-maxRecentStrikes/2:]...)
	}
	f.recent[len(f.recent)-1].At = at // includes the monotonic clock's reading
	return s, true
}

// AwaitRecorded waits until the strike is on record.
func (f *faultInjector) AwaitRecorded(s faultrules.Strike, left time.Duration) bool {
	p := f.process
	for end := p.now() + min(strikeTimeout, left/2); ; time.Sleep(strikePollInterval) {
		switch verdict := p.ruleJudge.Made(p.now(), s); {
		case verdict == faultrules.Hit:
			return true
		case verdict == faultrules.Pass, p.now() >= end:
			return false
		}
		f.requestStrikes()
	}
}

func (f *faultInjector) newLine(q faultrules.Request, s faultrules.Strike, outcome string) strikeLine {
	return strikeLine{At: time.UnixMilli(q.At), Rule: s.Rule, Effect: string(s.Kind), Tenant: q.Tenant, Route: q.Route, Method: q.Method, ID: q.ID,
		DelayMs: s.Delay.Seconds() * 1000, Node: f.process.settings.NodeName, Outcome: outcome, Life: f.incarnation, Seq: s.Seq}
}

// RecordOutcome records the outcome of a strike.
func (f *faultInjector) RecordOutcome(q faultrules.Request, s faultrules.Strike, outcome string) {
	f.process.ruleJudge.Struck(s, q, outcome)
	f.recordResult(q, s, outcome)
}

// RecordUnused records a strike that was not made, and returns it to the budget.
func (f *faultInjector) RecordUnused(q faultrules.Request, s faultrules.Strike, outcome string) {
	f.process.ruleJudge.Unmade(s, q, outcome)
	f.recordResult(q, s, outcome)
}

func (f *faultInjector) recordResult(q faultrules.Request, s faultrules.Strike, outcome string) {
	f.process.logger.WithFields(log.Fields{"rule": s.Rule, "effect": s.Kind, "tenant": q.Tenant, "route": q.Route, "id": q.ID,
		"outcome": outcome}).Info("struck")
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := len(f.recent) - 1; i >= 0; i-- {
		if f.recent[i].Seq == s.Seq {
			f.recent[i].Outcome = outcome
			return
		}
	}
}

// showStrikes answers with the strikes on record here: those of this process and, where there is a disk,
// those of all.
func (p *Process) showStrikes(ctx *fasthttp.RequestCtx, _ string) {
	if p.refuseWithoutFaults(ctx) {
		return
	}
	type key struct {
		node      string
		life, seq uint64
	}
	var all []strikeLine
	index := map[key]int{}
	add := func(s strikeLine) {
		k := key{s.Node, s.Life, s.Seq}
		if i, ok := index[k]; !ok {
			index[k] = len(all)
			all = append(all, s)
		} else if s.Outcome != outcomePending {
			all[i].Outcome = s.Outcome
		}
	}
	p.injector.mu.Lock()
	for _, s := range p.injector.recent {
		s.AgoMs = time.Since(s.At).Milliseconds()
		add(s)
	}
	p.injector.mu.Unlock()
	for _, e := range p.strikeRecord.all() {
		note := e.Note
		at := time.UnixMilli(note.Request.At)
		add(strikeLine{At: at, AgoMs: time.Since(at).Milliseconds(), Rule: note.Name, Effect: string(note.Kind), Tenant: note.Request.Tenant,
			Route: note.Request.Route, Method: note.Request.Method, ID: note.Request.ID, DelayMs: note.Delay.Seconds() * 1000, Node: e.Node,
			Outcome: cmp.Or(note.Outcome, outcomePending), Life: e.Life, Seq: cmp.Or(note.Of, note.Seq)})
	}
	body, err := json.Marshal(all)
	if err != nil {
		ctx.Error(err.Error()+"\n", http.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}
