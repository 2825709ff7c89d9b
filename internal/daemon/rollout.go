package daemon

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/valyala/fasthttp"

	"asterwell/internal/rollout"
)

// Withdrawal is the answer to a call that withdraws a version.
type Withdrawal struct{ Version, Outcome, Live, Newest string }

// withdraw passes an operator's call to the primary, and answers with the outcome.
func (p *Process) withdraw(ctx *fasthttp.RequestCtx, version string) {
	v, err := strconv.ParseUint(version, 16, 32)
	if err != nil || len(version) != 8 {
		ctx.Error("path: not a version of eight hexadecimal digits: "+strconv.Quote(version)+"\n", http.StatusBadRequest)
		return
	}
	by := ctx.RemoteIP().String()
	a, _ := p.call(func(call uint64) { p.inbox.Put(withdrawCall{call, uint32(v), by}) }).(rollout.WithdrawReply)
	switch a.Outcome {
	case rollout.OutcomeUndecided: // it may still become live
		p.busy(ctx)
		return
	case rollout.OutcomeAbsent: // by the word of a primary that may have been replaced meanwhile
		if kept, ok := p.proveContact(displayProofTimeout); !ok || kept >= uint32(v) {
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
