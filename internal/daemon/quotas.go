package daemon

import (
	"cmp"

	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"asterwell/internal/adminapi"
	"asterwell/internal/fsm"
	"asterwell/internal/quotas"
)

// account is what the meter's decisions went by.
func (l *meter) account(now fsm.Time) quotas.Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.m.Stats(now)
}

// quotas shows operators what this gateway's decisions about quotas went by.
func (p *Process) quotas(ctx *fasthttp.RequestCtx, _ string) {
	p.show(ctx, func(p *Process) any {
		a, name := p.meter.account(p.now()), named(p.knot.GatewaySights(p.now()))
		return adminapi.Quotas{Asked: p.set.NodeName, Mesh: p.self, ContactS: p.contactS(), Holder: cmp.Or(name(a.Holder), a.Holder),
			HolderChanges: a.HolderChanges, SharesFor: a.Gateways, InTouch: a.Reachable, UnansweredMs: a.UnansweredMS,
			BehindUnits: a.MaxBehind, BehindAnswers: a.AnswersBehind,
			Decided: lo.Map(quotas.Bases(), func(b quotas.Basis, _ int) adminapi.QuotaDecisions {
				return adminapi.QuotaDecisions{Basis: b.String(), Passed: a.Decided[b].Passed, Refused: a.Decided[b].Refused}
			})}
	})
}
