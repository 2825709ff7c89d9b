package weave

import (
	"net/http"
	"strconv"

	"github.com/valyala/fasthttp"
)

// withdraw passes an operator's wish on to the primary. How it ended the status tells:
// a version that has become live by then stays so.
func (p *Process) withdraw(ctx *fasthttp.RequestCtx, version string) {
	v, err := strconv.ParseUint(version, 16, 32)
	if err != nil || len(version) != 8 {
		ctx.Error("path: not a version of eight hexadecimal digits: "+strconv.Quote(version)+"\n", http.StatusBadRequest)
		return
	}
	p.box.Put(withdrawn{uint32(v), ctx.RemoteIP().String()})
	ctx.SetContentType("application/json")
	ctx.SetBodyString("{}")
}
