package daemon

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"asterwell/internal/adminapi"
	"asterwell/internal/consensus"
	"asterwell/internal/memberlist"
	"asterwell/internal/registry"
)

// showCall asks the control loop for a read-only answer.
type showCall struct {
	call  uint64
	build func(p *Process) any
}

// showJSON answers with what build returns. The control loop runs build, which copies the state; the
// goroutine of the connection encodes and writes it.
func (p *Process) showJSON(ctx *fasthttp.RequestCtx, build func(p *Process) any) {
	p.proveContact(displayProofTimeout)
	a := p.call(func(call uint64) { p.inbox.Put(showCall{call, build}) })
	if a == nil {
		p.busy(ctx)
		return
	}
	body, err := json.MarshalIndent(a, "", "  ")
	if err != nil {
		ctx.Error(err.Error()+"\n", http.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}

func (p *Process) showStatus(ctx *fasthttp.RequestCtx, _ string) {
	p.showJSON(ctx, func(p *Process) any { return p.currentStatus() })
}

func (p *Process) showMembers(ctx *fasthttp.RequestCtx, _ string) {
	p.showJSON(ctx, func(p *Process) any {
		all := p.machine.GatewayStatuses(p.now())
		name := gatewayNames(all)
		return adminapi.Members{Asked: p.settings.NodeName, Mesh: p.meshAddr, ContactS: p.contactSeconds(), Draining: p.draining.Load(),
			Gateways: lo.Map(all, func(s memberlist.NodeStatus, _ int) adminapi.Gateway {
				return adminapi.Gateway{Name: s.Name, Zone: s.Zone, Addr: s.Addr, Control: s.Control, Core: s.Member, State: s.State.String(),
					ForS: s.InState.Seconds(), Ready: s.Ready, Started: time.UnixMilli(int64(s.Incarnation)).UTC(), NewsS: s.SinceHeard.Seconds(),
					Watched: s.WatchedHere, Watchers: lo.Map(s.Watchers, func(a string, _ int) string { return name(a) }),
					Holds: fmt.Sprintf("%08x", s.ConfigVersion)}
			})}
	})
}

// gatewayNames returns a function that maps an address to the gateway's name, or to itself if it has none.
func gatewayNames(all []memberlist.NodeStatus) func(addr string) string {
	names := lo.SliceToMap(all, func(s memberlist.NodeStatus) (string, string) { return s.Addr, s.Name })
	return func(addr string) string { return cmp.Or(names[addr], addr) }
}

func (p *Process) showServices(ctx *fasthttp.RequestCtx, _ string) {
	p.showJSON(ctx, func(p *Process) any {
		all := p.machine.GatewayStatuses(p.now())
		name, at := gatewayNames(all), lo.SliceToMap(all, func(s memberlist.NodeStatus) (string, string) { return s.Addr, s.Control })
		return adminapi.Services{Asked: p.settings.NodeName, Mesh: p.meshAddr, ContactS: p.contactSeconds(),
			Servers: lo.Map(p.machine.ServerStatuses(p.now()), func(s registry.ServerStatus, _ int) adminapi.Server {
				v := adminapi.Server{ID: s.ID, Service: s.Service, Endpoint: s.Addr, Zone: s.Zone, Epoch: s.Epoch, Capacity: s.Capacity,
					Phase: s.Phase.String(), WarmLeftS: s.WarmLeft.Seconds(), Home: name(s.Home), HomeAt: at[s.Home]}
				if s.SinceHeartbeat >= 0 {
					v.BeatS = lo.ToPtr(s.SinceHeartbeat.Seconds())
				}
				return v
			})}
	})
}

func (p *Process) showEpochs(ctx *fasthttp.RequestCtx, _ string) {
	p.showJSON(ctx, func(p *Process) any {
		now, today := p.now(), time.Now()
		return adminapi.Epochs{Asked: p.settings.NodeName, Mesh: p.meshAddr, ContactS: p.contactSeconds(), Role: p.machine.ConsensusStatus().Role,
			Epochs: lo.Map(p.machine.Epochs(), func(c consensus.EpochChange, _ int) adminapi.Epoch {
				return adminapi.Epoch{Epoch: c.Ballot.N, At: today.Add(c.At - now).UTC(), Seats: lo.Map(c.Members, func(d consensus.MemberRole, _ int) adminapi.CoreMember {
					return adminapi.CoreMember{Name: cmp.Or(d.Name, d.Addr), Zone: d.Zone, Addr: d.Addr, Does: d.Role}
				})}
			})}
	})
}
