package daemon

import (
	"cmp"

	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"asterwell/internal/adminapi"
	"asterwell/internal/fsm"
	"asterwell/internal/quotas"
)

// account returns the basis of the meter's decisions.
func (m *meter) account(now fsm.Time) quotas.Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inner.Stats(now)
}

// showQuotas answers with the basis of this gateway's quota decisions.
func (p *Process) showQuotas(ctx *fasthttp.RequestCtx, _ string) {
	p.showJSON(ctx, func(p *Process) any {
		stats, name := p.meter.account(p.now()), gatewayNames(p.machine.GatewayStatuses(p.now()))
		return adminapi.Quotas{Asked: p.settings.NodeName, Mesh: p.meshAddr, ContactS: p.contactSeconds(), Holder: cmp.Or(name(stats.Holder), stats.Holder),
			HolderChanges: stats.HolderChanges, SharesFor: stats.Gateways, InTouch: stats.Reachable, UnansweredMs: stats.UnansweredMS,
			BehindUnits: stats.MaxBehind, BehindAnswers: stats.AnswersBehind,
			Decided: lo.Map(quotas.Bases(), func(b quotas.Basis, _ int) adminapi.QuotaDecisions {
				return adminapi.QuotaDecisions{Basis: b.String(), Passed: stats.Decided[b].Passed, Refused: stats.Decided[b].Refused}
			})}
	})
}
