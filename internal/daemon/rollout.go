package daemon

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/valyala/fasthttp"

	"asterwell/internal/rollout"
)

// Withdrawal tells an operator what has come of a version that was to be withdrawn.
type Withdrawal struct{ Version, Outcome, Live, Newest string }

// withdraw brings an operator's wish to the primary, and its word back.
func (p *Process) withdraw(ctx *fasthttp.RequestCtx, version string) {
	v, err := strconv.ParseUint(version, 16, 32)
	if err != nil || len(version) != 8 {
		ctx.Error("path: not a version of eight hexadecimal digits: "+strconv.Quote(version)+"\n", http.StatusBadRequest)
		return
	}
	by := ctx.RemoteIP().String()
	a, _ := p.ask(func(call uint64) { p.box.Put(withdrawn{call, uint32(v), by}) }).(rollout.WithdrawReply)
	switch a.Outcome {
	case rollout.OutcomeUndecided: // it may still be taken up
		p.busy(ctx)
		return
	case rollout.OutcomeAbsent: // as far as a primary knew that may have been followed
		if kept, ok := p.proof(glance); !ok || kept >= uint32(v) {
			p.busy(ctx)
			return
		}
		ctx.Error("no such version is kept\n", http.StatusNotFound)
		return
	}
	body, _ := json.Marshal(Withdrawal{fmt.Sprintf("%08x", v), a.Outcome.String(), fmt.Sprintf("%08x", a.Live), fmt.Sprintf("%08x", a.Newest)})
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
