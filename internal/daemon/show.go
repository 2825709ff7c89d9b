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

// shown asks the loop for something that operators are shown.
type shown struct {
	call uint64
	show func(p *Process) any
}

// show answers with what the loop makes of the process as it is. The loop copies, and
// the connection's goroutine writes.
func (p *Process) show(ctx *fasthttp.RequestCtx, of func(p *Process) any) {
	p.proof(glance)
	a := p.ask(func(call uint64) { p.box.Put(shown{call, of}) })
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

func (p *Process) status(ctx *fasthttp.RequestCtx, _ string) {
	p.show(ctx, func(p *Process) any { return p.examine() })
}

func (p *Process) members(ctx *fasthttp.RequestCtx, _ string) {
	p.show(ctx, func(p *Process) any {
		all := p.knot.GatewaySights(p.now())
		name := named(all)
		return adminapi.Members{Asked: p.set.NodeName, Mesh: p.self, ContactS: p.contactS(), Draining: p.draining.Load(),
			Gateways: lo.Map(all, func(s memberlist.NodeStatus, _ int) adminapi.Gateway {
				return adminapi.Gateway{Name: s.Name, Zone: s.Zone, Addr: s.Addr, Control: s.Control, Core: s.Member, State: s.State.String(),
					ForS: s.InState.Seconds(), Ready: s.Ready, Started: time.UnixMilli(int64(s.Incarnation)).UTC(), NewsS: s.SinceHeard.Seconds(),
					Watched: s.WatchedHere, Watchers: lo.Map(s.Watchers, func(a string, _ int) string { return name(a) }),
					Holds: fmt.Sprintf("%08x", s.ConfigVersion)}
			})}
	})
}

// named finds the names of addresses.
func named(all []memberlist.NodeStatus) func(addr string) string {
	names := lo.SliceToMap(all, func(s memberlist.NodeStatus) (string, string) { return s.Addr, s.Name })
	return func(addr string) string { return cmp.Or(names[addr], addr) }
}

func (p *Process) services(ctx *fasthttp.RequestCtx, _ string) {
	p.show(ctx, func(p *Process) any {
		all := p.knot.GatewaySights(p.now())
		name, at := named(all), lo.SliceToMap(all, func(s memberlist.NodeStatus) (string, string) { return s.Addr, s.Control })
		return adminapi.Services{Asked: p.set.NodeName, Mesh: p.self, ContactS: p.contactS(),
			Servers: lo.Map(p.knot.ServerSights(p.now()), func(s registry.ServerStatus, _ int) adminapi.Server {
				v := adminapi.Server{ID: s.ID, Service: s.Service, Endpoint: s.Addr, Zone: s.Zone, Epoch: s.Epoch, Capacity: s.Capacity,
					Phase: s.Phase.String(), WarmLeftS: s.WarmLeft.Seconds(), Home: name(s.Home), HomeAt: at[s.Home]}
				if s.SinceHeartbeat >= 0 {
					v.BeatS = lo.ToPtr(s.SinceHeartbeat.Seconds())
				}
				return v
			})}
	})
}

func (p *Process) epochs(ctx *fasthttp.RequestCtx, _ string) {
	p.show(ctx, func(p *Process) any {
		now, today := p.now(), time.Now()
		return adminapi.Epochs{Asked: p.set.NodeName, Mesh: p.self, ContactS: p.contactS(), Role: p.knot.ConsensusStatus().Role,
			Epochs: lo.Map(p.knot.Epochs(), func(c consensus.EpochChange, _ int) adminapi.Epoch {
				return adminapi.Epoch{Epoch: c.Ballot.N, At: today.Add(c.At - now).UTC(), Seats: lo.Map(c.Members, func(d consensus.MemberRole, _ int) adminapi.CoreMember {
					return adminapi.CoreMember{Name: cmp.Or(d.Name, d.Addr), Zone: d.Zone, Addr: d.Addr, Does: d.Role}
				})}
			})}
	})
}
