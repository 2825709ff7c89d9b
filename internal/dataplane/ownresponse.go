package dataplane

import (
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"asterwell/internal/protocol"
)

// maxStatus is above every HTTP status.
const maxStatus = 600

// ownStatuses counts the responses that the gateway itself gave, by status.
type ownStatuses [maxStatus]atomic.Int64

// ownResponse counts a response that no server gave. Such a response is never a success: a client would take its request for
// done.
func (p *Plane) ownResponse(ctx *fasthttp.RequestCtx) {
	if protocol.RefuseOwnSuccess(ctx) {
		p.falseSuccesses.Add(1)
	}
	p.ownStatuses[min(ctx.Response.StatusCode(), maxStatus-1)].Add(1)
}

// OwnStatuses returns how many responses the gateway itself gave, by status.
func (p *Plane) OwnStatuses() map[int]int64 {
	counts := map[int]int64{}
	for status := range p.ownStatuses {
		if n := p.ownStatuses[status].Load(); n > 0 {
			counts[status] = n
		}
	}
	return counts
}

// FalseSuccesses returns how many successes without a server's response were held back. Each is a fault of the program.
func (p *Plane) FalseSuccesses() int64 { return p.falseSuccesses.Load() }
