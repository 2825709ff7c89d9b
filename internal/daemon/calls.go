package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/valyala/fasthttp"

	"asterwell/internal/consensus"
	"asterwell/internal/registry"
	"asterwell/internal/sysconfig"
)

// call is one that servers and operators may make, beside its handler. The handler
// runs on the goroutine of the connection, and waits for the process's word.
type call struct {
	method, path string // a path that ends with a slash stands for all below it
	what         string
	handle       func(p *Process, ctx *fasthttp.RequestCtx, rest string)
}

var calls = []call{
	{"PUT", "/api/members/", "a server's beat", (*Process).beat},
	{"DELETE", "/api/members/", "a server has ended", (*Process).end},
	{"PUT", "/api/configuration", "a configuration, whole", (*Process).put},
	{"GET", "/api/configuration", "the newest configuration", (*Process).get},
	{"PUT", "/api/faults", "fault rules, all that there shall be", (*Process).putFaults},
	{"GET", "/api/faults", "the fault rules, and how they stand", (*Process).getFaults},
	{"DELETE", "/api/faults/", "a set of fault rules shall strike no more", (*Process).stopFaults},
	{"DELETE", "/api/faults", "where the set that is kept is stopped", (*Process).stopFaults},
	{"GET", "/api/strikes", "what rules struck at this process", (*Process).strikes},
	{"DELETE", "/api/rollout/", "a version that is not live yet shall never be", (*Process).withdraw},
	{"GET", "/api/status", "what this process knows", (*Process).status},
	{"GET", "/api/members", "the gateways, and who watches whom", (*Process).members},
	{"GET", "/api/services", "the servers, and how old the news of them is", (*Process).services},
	{"GET", "/api/epochs", "who does what in agreement, and since when", (*Process).epochs},
	{"GET", "/api/quotas", "what its decisions about quotas went by", (*Process).quotas},
	{"POST", "/api/drain/", "clients shall go elsewhere, or come again", (*Process).drain},
	{"GET", "/api/frames", "what went between processes, by kind", (*Process).counted},
	{"GET", "/api/log", "its last lines", (*Process).log},
}

// Control serves the control address.
func (p *Process) control(ctx *fasthttp.RequestCtx) {
	path, method := string(ctx.Path()), string(ctx.Method())
	known := false
	for _, c := range calls {
		rest, below := strings.CutPrefix(path, c.path)
		if !below || rest != "" && !strings.HasSuffix(c.path, "/") {
			continue
		}
		if known = true; c.method == method {
			c.handle(p, ctx, rest)
			if p.leaving.Load() {
				ctx.SetConnectionClose()
			}
			return
		}
	}
	if known {
		ctx.Error("method not allowed\n", http.StatusMethodNotAllowed)
		return
	}
	ctx.Error("no such call\n", http.StatusNotFound)
}

// report is a server's word of itself.
type report struct {
	Endpoint string
	SelfInfo struct {
		Backend, Epoch, Zone string
		Capacity             int
	}
	HealthState struct {
		Phase        string
		Sequence     uint64
		WarmupLeftMs float64
	}
}

func (p *Process) beat(ctx *fasthttp.RequestCtx, id string) {
	var r report
	err := json.Unmarshal(ctx.PostBody(), &r)
	switch {
	case err != nil:
	case id == "":
		err = errors.New("path: the server's id is missing")
	case r.Endpoint == "":
		err = errors.New("Endpoint is missing")
	case r.SelfInfo.Backend == "":
		err = errors.New("SelfInfo.Backend is missing")
	case r.HealthState.Phase != "serving" && r.HealthState.Phase != "quiescing":
		err = fmt.Errorf("HealthState.Phase is unknown: %q", r.HealthState.Phase)
	}
	if err != nil {
		ctx.Error(err.Error()+"\n", http.StatusBadRequest)
		return
	}
	b := registry.Heartbeat{ID: id, Addr: r.Endpoint, Service: r.SelfInfo.Backend, Zone: r.SelfInfo.Zone, Epoch: r.SelfInfo.Epoch,
		Capacity: r.SelfInfo.Capacity, Quiescing: r.HealthState.Phase == "quiescing", Seq: r.HealthState.Sequence,
		WarmMs: int(r.HealthState.WarmupLeftMs)}
	p.member(ctx, func(call uint64) { p.box.Put(beaten{call, b}) })
}

func (p *Process) end(ctx *fasthttp.RequestCtx, id string) {
	p.member(ctx, func(call uint64) { p.box.Put(deleted{call, id}) })
}

// member answers a server's call.
func (p *Process) member(ctx *fasthttp.RequestCtx, put func(call uint64)) {
	a, ok := p.ask(put).(registry.Answer)
	if !ok || !a.OK {
		p.busy(ctx)
		return
	}
	ctx.SetContentType("application/json")
	if a.Target == "" {
		ctx.SetBodyString("{}")
		return
	}
	body, _ := json.Marshal(map[string]string{"HeartbeatTarget": a.Target})
	ctx.SetBody(body)
}

func (p *Process) put(ctx *fasthttp.RequestCtx, _ string) {
	body := append([]byte(nil), ctx.PostBody()...)
	c, err := sysconfig.Parse(body)
	if err != nil {
		ctx.Error(err.Error()+"\n", http.StatusBadRequest)
		return
	}
	doc := consensus.Doc{Version: c.Version(), Body: body}
	a, _ := p.ask(func(call uint64) { p.box.Put(proposed{call, doc}) }).(consensus.Answer)
	switch a.Result {
	case consensus.ResultAccepted:
		ctx.SetContentType("application/json")
		ctx.SetBodyString("{}")
	case consensus.ResultConflict: // for good: the same order would never get another answer
		p.say.WithField("version", fmt.Sprintf("%08x", doc.Version)).Info("refused: the number has another text")
		ctx.Error(fmt.Sprintf("Epoch: %08x was accepted with another text: read what is in force, and send this above it\n", doc.Version),
			http.StatusConflict)
	default:
		p.busy(ctx)
	}
}

func (p *Process) get(ctx *fasthttp.RequestCtx, _ string) {
	a, _ := p.ask(func(call uint64) { p.box.Put(fetched{call}) }).(consensus.Answer)
	switch {
	case a.Result == consensus.ResultRead && a.Doc != nil:
		ctx.SetContentType("application/json")
		ctx.SetBody(a.Doc.Body)
	case a.Result == consensus.ResultNone:
		ctx.Error("there is no configuration yet\n", http.StatusNotFound)
	default:
		p.busy(ctx)
	}
}

// busy sends the caller elsewhere, or here again.
func (p *Process) busy(ctx *fasthttp.RequestCtx) {
	ctx.Error("nobody can take it now\n", http.StatusServiceUnavailable) // which takes headers away
	ctx.Response.Header.Set("Retry-After", "0.2")
}

func (p *Process) log(ctx *fasthttp.RequestCtx, _ string) {
	ctx.SetBodyString(strings.Join(p.ring.Lines(), "\n") + "\n")
}
