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

var addKind = numbers[reflect.TypeOf(quotas.Add{})]

// tally counts frames by their number on the wire.
type tally [256]struct{ sent, bytesOut, got, bytesIn atomic.Int64 }

// codec is the codec that counts what passes through it. What is encoded and then lost
// in a full queue is counted as sent: it has cost as much. Where full says that adds come to no
// use, they are not decoded: no frame.
func (t *tally) codec(full func() bool) mesh.Codec[*frame] {
	skip := func(kind byte) bool { return kind == addKind && full() }
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
				c := &t[numbers[reflect.TypeOf(f.Msg)]]
				c.got.Add(1)
				c.bytesIn.Add(int64(size))
			}
			return f, size, err
		},
	}
}

// kinds are the counts by message.
func (t *tally) kinds() map[string]adminapi.MessageCounts {
	all := map[string]adminapi.MessageCounts{}
	for _, n := range numbers {
		c := &t[n]
		k := adminapi.MessageCounts{Sent: c.sent.Load(), BytesOut: c.bytesOut.Load(), Got: c.got.Load(), BytesIn: c.bytesIn.Load()}
		if k != (adminapi.MessageCounts{}) {
			all[controlplane.MessageName(int(n/32), int(n%32))] = k
		}
	}
	return all
}

// duty is what a process does in agreement: a member is a backup or a witness.
func duty(s consensus.Status, self string) string {
	switch {
	case s.Role != "member":
		return s.Role
	case slices.Contains(s.Writers, self):
		return "backup"
	}
	return "witness"
}

// Frames is what has gone between this process and others. It does not wait for the loop.
func (p *Process) FrameCounts() adminapi.Frames {
	role, _ := p.role.Load().(string)
	return adminapi.Frames{Name: p.set.NodeName, Role: role, Ready: p.ready.Load(), Version: p.version.Load(),
		Up: int(p.up.Load()), Serving: int(p.known.Load()), Kinds: p.frames.kinds()}
}

func (p *Process) counted(ctx *fasthttp.RequestCtx, _ string) {
	body, err := json.Marshal(p.FrameCounts())
	if err != nil {
		ctx.Error(err.Error()+"\n", http.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}
