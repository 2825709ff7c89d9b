package weave

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"

	"asterwell/internal/bane"
	"asterwell/internal/shuttle"
	"asterwell/internal/vault"
)

// What the loop is told of fault rules.
type (
	ruled struct {
		call uint64
		op   bane.Op
		doc  bane.Doc
	}
	rulesWritten struct{ seq uint64 }
	short        struct{} // requests wait for strikes
)

// longest is how long fault rules may live here; 0: there are none.
func (p *Process) longest() time.Duration {
	return time.Duration(p.set.FaultRules.LongestS * float64(time.Second))
}

// rulesKept is the name under which the core keeps fault rules.
const rulesKept = "bane"

// keptRules reads what is on disk. A disk that lost anything counts for nothing.
func (p *Process) keptRules(sound bool) *bane.Disk {
	if p.vault == nil || !sound {
		return nil
	}
	data, err := p.vault.Load(rulesKept)
	if err != nil {
		return nil
	}
	d := &bane.Disk{}
	if err := cbor.Unmarshal(data, d); err != nil {
		p.say.WithError(err).Error("fault rules are damaged: counts for nothing")
		return nil
	}
	return d
}

// writeRules syncs fault rules, the newest of what has come: each is whole.
func (p *Process) writeRules(v *vault.Vault) {
	for {
		all := p.rules.Take(-1)
		if len(all) == 0 {
			continue
		}
		last := all[len(all)-1]
		data, err := cbor.Marshal(last.Disk)
		if err != nil {
			panic(err) // a bug: the type is our own
		}
		for err = v.Save(rulesKept, data); err != nil; err = v.Save(rulesKept, data) {
			p.say.WithError(err).Warn("disk refuses")
			time.Sleep(writeAgain)
		}
		p.box.Put(rulesWritten{last.Seq})
	}
}

func (p *Process) putFaults(ctx *fasthttp.RequestCtx, _ string) {
	if p.noFaults(ctx) {
		return
	}
	body := append([]byte(nil), ctx.PostBody()...)
	set, err := bane.Parse(body, p.longest())
	if err == nil {
		if t := p.plane.Table(); t == nil {
			p.busy(ctx)
			return
		} else {
			err = set.Known(func(name string) bool { return t.TenantNamed(name) != nil }, t.HasRoute)
		}
	}
	if err != nil {
		ctx.Error(err.Error()+"\n", http.StatusBadRequest)
		return
	}
	p.rule(ctx, bane.OpPut, bane.Doc{Version: set.Version, Body: body})
}

func (p *Process) getFaults(ctx *fasthttp.RequestCtx, _ string) {
	if !p.noFaults(ctx) {
		p.rule(ctx, bane.OpGet, bane.Doc{})
	}
}

func (p *Process) stopFaults(ctx *fasthttp.RequestCtx, _ string) {
	if !p.noFaults(ctx) {
		p.rule(ctx, bane.OpStop, bane.Doc{})
	}
}

// noFaults refuses where the deployment has not turned fault rules on.
func (p *Process) noFaults(ctx *fasthttp.RequestCtx) bool {
	if p.longest() > 0 {
		return false
	}
	ctx.Error("fault rules are off in this deployment (FaultRules.LongestS)\n", http.StatusUnprocessableEntity)
	return true
}

// rule makes a call, and answers with how the rules stand.
func (p *Process) rule(ctx *fasthttp.RequestCtx, op bane.Op, doc bane.Doc) {
	a, _ := p.ask(func(call uint64) { p.box.Put(ruled{call, op, doc}) }).(bane.Answer)
	switch a.Outcome {
	case bane.Busy:
		p.busy(ctx)
		return
	case bane.Below:
		ctx.SetStatusCode(http.StatusConflict)
	}
	body, err := json.Marshal(struct {
		bane.State
		LeaseMs int64
		Set     json.RawMessage `json:",omitempty"`
	}{a.State, a.State.Lease.Milliseconds(), a.State.Body})
	if err != nil {
		ctx.Error(err.Error()+"\n", http.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}

// strike is one on record.
type strike struct {
	At                        time.Time // of day, for people
	Rule, Effect              string
	Tenant, Route, Method, ID string
	DelayMs                   float64 `json:",omitempty"`
	Node, Outcome             string
}

// ban holds requests against the fault rules.
type ban struct {
	p    *Process
	mu   sync.Mutex
	last []strike
}

const (
	mostStrikes = 1000 // on record here; the log has them too
	partWait    = 500 * time.Millisecond
	partLook    = 5 * time.Millisecond
)

func (p *Process) faults() shuttle.Faults {
	if p.longest() == 0 {
		return nil
	}
	p.ban = &ban{p: p}
	return p.ban
}

// On reports whether there are rules.
func (b *ban) On() bool { return b.p.judge.On() }

// Strike judges a request, and waits where it was drawn and no strike is here yet.
func (b *ban) Strike(q bane.Request, left time.Duration) (bane.Strike, bool) {
	p := b.p
	s, v := p.judge.Strike(p.now(), q)
	if v != bane.Short {
		return s, v == bane.Hit
	}
	rule := s.Rule
	p.judge.Wait(rule, 1)
	defer p.judge.Wait(rule, -1)
	for end := p.now() + min(partWait, left/2); v == bane.Short && p.now() < end; s, v = p.judge.Strike(p.now(), q) {
		if !p.short.Swap(true) {
			p.box.Put(short{})
		}
		time.Sleep(partLook)
	}
	return s, v == bane.Hit
}

// Struck records a strike and what became of it.
func (b *ban) Struck(q bane.Request, s bane.Strike, outcome string) {
	k := strike{At: time.Now(), Rule: s.Rule, Effect: string(s.Kind), Tenant: q.Tenant, Route: q.Route, Method: q.Method, ID: q.ID,
		DelayMs: s.Delay.Seconds() * 1000, Node: b.p.set.NodeName, Outcome: outcome}
	b.p.say.WithFields(log.Fields{"rule": k.Rule, "effect": k.Effect, "tenant": k.Tenant, "route": k.Route, "id": k.ID,
		"outcome": outcome}).Info("struck")
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last = append(b.last, k); len(b.last) > mostStrikes {
		b.last = append([]strike(nil), b.last[len(b.last)-mostStrikes/2:]...)
	}
}

// strikes answers with what is on record here.
func (p *Process) strikes(ctx *fasthttp.RequestCtx, _ string) {
	if p.noFaults(ctx) {
		return
	}
	p.ban.mu.Lock()
	body, err := json.Marshal(p.ban.last)
	p.ban.mu.Unlock()
	if err != nil {
		ctx.Error(err.Error()+"\n", http.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}
