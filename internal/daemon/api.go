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

// apiCall is an HTTP call for servers or operators. Its handler runs on the goroutine of the connection,
// and waits for the control loop's answer.
type apiCall struct {
	method, path string // a path that ends with a slash covers all paths below it
	description  string
	handle       func(p *Process, ctx *fasthttp.RequestCtx, rest string)
}

var apiCalls = []apiCall{
	{"PUT", "/api/members/", "a server's heartbeat", (*Process).serverHeartbeat},
	{"DELETE", "/api/members/", "a server has ended", (*Process).serverEnded},
	{"PUT", "/api/configuration", "replace the configuration", (*Process).putConfig},
	{"GET", "/api/configuration", "the newest configuration", (*Process).getConfig},
	{"PUT", "/api/faults", "replace the fault rules", (*Process).putFaults},
	{"GET", "/api/faults", "the fault rules and their state", (*Process).getFaults},
	{"DELETE", "/api/faults/", "stop a set of fault rules", (*Process).stopFaults},
	{"DELETE", "/api/faults", "redirect to the current set, to stop it", (*Process).stopFaults},
	{"GET", "/api/strikes", "requests that fault rules applied to", (*Process).showStrikes},
	{"DELETE", "/api/rollout/", "withdraw a version that isn't live yet", (*Process).withdraw},
	{"GET", "/api/status", "the state of this process", (*Process).showStatus},
	{"GET", "/api/members", "the gateways and who monitors whom", (*Process).showMembers},
	{"GET", "/api/services", "the servers and the age of their state", (*Process).showServices},
	{"GET", "/api/epochs", "the epochs of consensus and the roles in each", (*Process).showEpochs},
	{"GET", "/api/quotas", "the basis of its quota decisions", (*Process).showQuotas},
	{"POST", "/api/drain/", "start or stop a drain", (*Process).drain},
	{"GET", "/api/frames", "messages between processes, by kind", (*Process).showFrames},
	{"GET", "/api/log", "the last log lines", (*Process).showLog},
}

// control serves the control address.
func (p *Process) control(ctx *fasthttp.RequestCtx) {
	path, method := string(ctx.Path()), string(ctx.Method())
	known := false
	for _, c := range apiCalls {
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

// report is the body of a server's heartbeat.
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

// stableDecodeError keeps the text that callers get if a heartbeat isn't an object: the decoder's error names
// the Go type, and the package of report has been renamed.
func stableDecodeError(err error) error {
	return errors.New(strings.Replace(err.Error(), "type daemon.report", "type weave.report", 1))
}

func (p *Process) serverHeartbeat(ctx *fasthttp.RequestCtx, id string) {
	var r report
	err := json.Unmarshal(ctx.PostBody(), &r)
	switch {
	case err != nil:
		err = stableDecodeError(err)
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
	p.answerServer(ctx, func(call uint64) { p.inbox.Put(heartbeatCall{call, b}) })
}

func (p *Process) serverEnded(ctx *fasthttp.RequestCtx, id string) {
	p.answerServer(ctx, func(call uint64) { p.inbox.Put(endedCall{call, id}) })
}

// answerServer passes a server's call to the control loop, and writes the response.
func (p *Process) answerServer(ctx *fasthttp.RequestCtx, put func(call uint64)) {
	a, ok := p.call(put).(registry.Answer)
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

func (p *Process) putConfig(ctx *fasthttp.RequestCtx, _ string) {
	body := append([]byte(nil), ctx.PostBody()...)
	c, err := sysconfig.Parse(body)
	if err != nil {
		ctx.Error(err.Error()+"\n", http.StatusBadRequest)
		return
	}
	doc := consensus.Doc{Version: c.Version(), Body: body}
	a, _ := p.call(func(call uint64) { p.inbox.Put(putCall{call, doc}) }).(consensus.Answer)
	switch a.Result {
	case consensus.ResultAccepted:
		ctx.SetContentType("application/json")
		ctx.SetBodyString("{}")
	case consensus.ResultConflict: // final: a retry of the same call would get the same answer
		p.logger.WithField("version", fmt.Sprintf("%08x", doc.Version)).Info("refused: the number has another text")
		ctx.Error(fmt.Sprintf("Epoch: %08x was accepted with another text: read what is in force, and send this above it\n", doc.Version),
			http.StatusConflict)
	default:
		p.busy(ctx)
	}
}

func (p *Process) getConfig(ctx *fasthttp.RequestCtx, _ string) {
	a, _ := p.call(func(call uint64) { p.inbox.Put(getCall{call}) }).(consensus.Answer)
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

// busy tells the caller to retry here or at another process.
func (p *Process) busy(ctx *fasthttp.RequestCtx) {
	ctx.Error("nobody can take it now\n", http.StatusServiceUnavailable) // resets the headers
	ctx.Response.Header.Set("Retry-After", "0.2")
}

func (p *Process) showLog(ctx *fasthttp.RequestCtx, _ string) {
	ctx.SetBodyString(strings.Join(p.ring.Lines(), "\n") + "\n")
}
