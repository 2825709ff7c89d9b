package daemon

import (
	"bufio"
	"encoding/json"
	"net/http"
	"reflect"
	"slices"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"asterwell/internal/adminapi"
	"asterwell/internal/consensus"
	"asterwell/internal/controlplane"
	"asterwell/internal/mesh"
	"asterwell/internal/quotas"
)

var addMessageKind = messageKinds[reflect.TypeOf(quotas.Add{})]

// frameCounters counts frames by kind.
type frameCounters [256]struct{ sent, bytesOut, got, bytesIn atomic.Int64 }

// codec returns a codec that counts frames. A frame that is encoded and then dropped from a full queue
// counts as sent, since it costs as much. While full reports true, adds aren't decoded: Decode returns no
// frame for them.
func (t *frameCounters) codec(full func() bool) mesh.Codec[*frame] {
	skip := func(kind byte) bool { return kind == addMessageKind && full() }
	return mesh.Codec[*frame]{
		Encode: func(f *frame) []byte {
			b := encode(f)
			c := &t[b[5]]
			c.sent.Add(1)
			c.bytesOut.Add(int64(len(b)))
			return b
		},
		Decode: func(in *bufio.Reader) (*frame, int, error) {
			f, size, err := readUnless(in, skip)
			if f != nil && err == nil {
				c := &t[messageKinds[reflect.TypeOf(f.Msg)]]
				c.got.Add(1)
				c.bytesIn.Add(int64(size))
			}
			return f, size, err
		},
	}
}

// kinds returns the counts by message name, without those that are zero.
func (t *frameCounters) kinds() map[string]adminapi.MessageCounts {
	all := map[string]adminapi.MessageCounts{}
	for _, n := range messageKinds {
		c := &t[n]
		k := adminapi.MessageCounts{Sent: c.sent.Load(), BytesOut: c.bytesOut.Load(), Got: c.got.Load(), BytesIn: c.bytesIn.Load()}
		if k != (adminapi.MessageCounts{}) {
			all[controlplane.MessageName(int(n/32), int(n%32))] = k
		}
	}
	return all
}

// consensusRole returns the role of a process in consensus, with members split into backups and witnesses.
func consensusRole(s consensus.Status, self string) string {
	switch {
	case s.Role != "member":
		return s.Role
	case slices.Contains(s.Writers, self):
		return "backup"
	}
	return "witness"
}

// FrameCounts returns the traffic between this process and the others. It doesn't wait for the control
// loop.
func (p *Process) FrameCounts() adminapi.Frames {
	role, _ := p.role.Load().(string)
	return adminapi.Frames{Name: p.settings.NodeName, Role: role, Ready: p.ready.Load(), Version: p.version.Load(),
		Up: int(p.processCount.Load()), Serving: int(p.serverCount.Load()), Kinds: p.frameCounters.kinds()}
}

func (p *Process) showFrames(ctx *fasthttp.RequestCtx, _ string) {
	body, err := json.Marshal(p.FrameCounts())
	if err != nil {
		ctx.Error(err.Error()+"\n", http.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}
