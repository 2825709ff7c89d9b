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

// strike is one on record.
type strike struct {
	At                        time.Time // of day, for people
	AgoMs                     int64     // by a steady clock where there is one
	Rule, Effect              string
	Tenant, Route, Method, ID string
	DelayMs                   float64 `json:",omitempty"`
	Node, Outcome             string
	Life, Seq                 uint64 // tell it from others of the node
}

// underWay is the outcome of a strike of which no more is known.
const underWay = "under way"

// ban holds requests against the fault rules.
type ban struct {
	p    *Process
	life uint64
	mu   sync.Mutex
	last []strike
}

const (
	mostStrikes = 1000 // in memory here; the core's disks and the log have them too
	partWait    = 500 * time.Millisecond
	partLook    = 5 * time.Millisecond
)

func (p *Process) faults(life uint64) dataplane.FaultInjector {
	if p.longest() == 0 {
		return nil
	}
	p.ban = &ban{p: p, life: life}
	return p.ban
}

// On reports whether there are rules.
func (b *ban) Active() bool { return b.p.judge.On() }

// hurry lets the loop know that requests wait for strikes, or for the record.
func (b *ban) hurry() {
	if !b.p.short.Swap(true) {
		b.p.box.Put(short{})
	}
}

// Strike judges a request, and waits where it was drawn and no strike is here yet.
func (b *ban) Select(q faultrules.Request, left time.Duration) (faultrules.Strike, bool) {
	p := b.p
	at := time.Now()
	q.At = at.UnixMilli()
	s, v := p.judge.Strike(p.now(), q)
	for end := p.now() + min(partWait, left/2); v == faultrules.Short && p.now() < end; {
		leave := p.judge.Queue(s.Rule)
		b.hurry()
		time.Sleep(partLook)
		s, v = p.judge.Strike(p.now(), q)
		leave()
	}
	if v != faultrules.Hit {
		return s, false
	}
	b.hurry()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last = append(b.last, b.line(q, s, underWay)); len(b.last) > mostStrikes {
		b.last = append([]strike(nil), b.last[len(b.last)-mostStrikes/2:]...)
	}
	b.last[len(b.last)-1].At = at // with the steady clock's reading
	return s, true
}

// Made waits until the strike is on record.
func (b *ban) AwaitRecorded(s faultrules.Strike, left time.Duration) bool {
	p := b.p
	for end := p.now() + min(partWait, left/2); ; time.Sleep(partLook) {
		switch v := p.judge.Made(p.now(), s); {
		case v == faultrules.Hit:
			return true
		case v == faultrules.Pass, p.now() >= end:
			return false
		}
		b.hurry()
	}
}

func (b *ban) line(q faultrules.Request, s faultrules.Strike, outcome string) strike {
	return strike{At: time.UnixMilli(q.At), Rule: s.Rule, Effect: string(s.Kind), Tenant: q.Tenant, Route: q.Route, Method: q.Method, ID: q.ID,
		DelayMs: s.Delay.Seconds() * 1000, Node: b.p.set.NodeName, Outcome: outcome, Life: b.life, Seq: s.Seq}
}

// Struck records what became of a strike.
func (b *ban) RecordOutcome(q faultrules.Request, s faultrules.Strike, outcome string) {
	b.p.judge.Struck(s, q, outcome)
	b.came(q, s, outcome)
}

// Unmade records a strike that was not made, and gives it back.
func (b *ban) RecordUnused(q faultrules.Request, s faultrules.Strike, outcome string) {
	b.p.judge.Unmade(s, q, outcome)
	b.came(q, s, outcome)
}

func (b *ban) came(q faultrules.Request, s faultrules.Strike, outcome string) {
	b.p.say.WithFields(log.Fields{"rule": s.Rule, "effect": s.Kind, "tenant": q.Tenant, "route": q.Route, "id": q.ID,
		"outcome": outcome}).Info("struck")
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := len(b.last) - 1; i >= 0; i-- {
		if b.last[i].Seq == s.Seq {
			b.last[i].Outcome = outcome
			return
		}
	}
}

// strikes answers with what is on record here: of this process, and, where there is a disk, of all.
func (p *Process) strikes(ctx *fasthttp.RequestCtx, _ string) {
	if p.noFaults(ctx) {
		return
	}
	type key struct {
		node      string
		life, seq uint64
	}
	var all []strike
	place := map[key]int{}
	add := func(s strike) {
		k := key{s.Node, s.Life, s.Seq}
		if i, ok := place[k]; !ok {
			place[k] = len(all)
			all = append(all, s)
		} else if s.Outcome != underWay {
			all[i].Outcome = s.Outcome
		}
	}
	p.ban.mu.Lock()
	for _, s := range p.ban.last {
		s.AgoMs = time.Since(s.At).Milliseconds()
		add(s)
	}
	p.ban.mu.Unlock()
	for _, e := range p.tape.all() {
		n := e.Note
		at := time.UnixMilli(n.Request.At)
		add(strike{At: at, AgoMs: time.Since(at).Milliseconds(), Rule: n.Name, Effect: string(n.Kind), Tenant: n.Request.Tenant,
			Route: n.Request.Route, Method: n.Request.Method, ID: n.Request.ID, DelayMs: n.Delay.Seconds() * 1000, Node: e.Node,
			Outcome: cmp.Or(n.Outcome, underWay), Life: e.Life, Seq: cmp.Or(n.Of, n.Seq)})
	}
	body, err := json.Marshal(all)
	if err != nil {
		ctx.Error(err.Error()+"\n", http.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}
