package daemon

import (
	"fmt"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"asterwell/internal/mesh"
	"asterwell/internal/registry"
)

func used() time.Duration {
	var t unix.Timespec
	unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &t)
	return time.Duration(t.Nano())
}

// BenchmarkFrame is the processor time of news of one server and its Ack, at both ends together: on a connection
// that is there, and where one has to be made.
func BenchmarkFrame(b *testing.B) {
	for _, cold := range []bool{false, true} {
		b.Run(fmt.Sprint("cold=", cold), func(b *testing.B) {
			got := make(chan bool)
			one := mesh.New(mesh.Options[*frame]{Codec: codec, MaxInbound: 100, ReadBufferSize: 2 << 10, ConfigureConn: tune, Handle: func(*mesh.Conn[*frame], *frame) { got <- true }})
			other := mesh.New(mesh.Options[*frame]{Codec: codec, MaxInbound: 100, ReadBufferSize: 2 << 10, ConfigureConn: tune, Handle: func(p *mesh.Conn[*frame], f *frame) {
				p.Send(&frame{From: "127.0.0.1:2", Msg: registry.Ack{Number: 7}})
			}})
			if err := other.Listen("127.0.0.1:0"); err != nil {
				b.Fatal(err)
			}
			defer other.Close()
			news := &frame{From: "127.0.0.1:1", Msg: registry.Update{Number: 7, Rows: []registry.Row{{ID: "i-7f3a91c2", Addr: "10.128.0.9:8080", Service: "huvo11a", Zone: "muc-nord", Phase: registry.Quiescing, Seq: 412}}}}
			began := used()
			for b.Loop() {
				one.ConnTo(other.Addr()).Send(news)
				<-got
				if cold {
					one.Close()
					one = mesh.New(one.Options)
				}
			}
			b.ReportMetric(float64(used()-began)/float64(b.N)/1e3, "cpu-µs/op")
			one.Close()
		})
	}
}
