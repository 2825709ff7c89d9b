package daemon

import (
	"fmt"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"asterwell/internal/mesh"
	"asterwell/internal/registry"
)

func processTime() time.Duration {
	var t unix.Timespec
	unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &t)
	return time.Duration(t.Nano())
}

// BenchmarkFrame measures the processor time of a change of one server and its Ack, at both ends together:
// on an existing connection, and on a new one.
func BenchmarkFrame(b *testing.B) {
	for _, cold := range []bool{false, true} {
		b.Run(fmt.Sprint("cold=", cold), func(b *testing.B) {
			got := make(chan bool)
			one := mesh.New(mesh.Options[*frame]{Codec: codec, MaxInbound: 100, ReadBufferSize: 2 << 10, ConfigureConn: configureConn, Handle: func(*mesh.Conn[*frame], *frame) { got <- true }})
			other := mesh.New(mesh.Options[*frame]{Codec: codec, MaxInbound: 100, ReadBufferSize: 2 << 10, ConfigureConn: configureConn, Handle: func(p *mesh.Conn[*frame], f *frame) {
				p.Send(&frame{From: "127.0.0.1:2", Msg: registry.Ack{Number: 7}})
			}})
			if err := other.Listen("127.0.0.1:0"); err != nil {
				b.Fatal(err)
			}
			defer other.Close()
			news := &frame{From: "127.0.0.1:1", Msg: registry.Update{Number: 7, Rows: []registry.Row{{ID: "i-7f3a91c2", Addr: "10.128.0.9:8080", Service: "huvo11a", Zone: "muc-nord", Phase: registry.Quiescing, Seq: 412}}}}
			began := processTime()
			for b.Loop() {
				one.ConnTo(other.Addr()).Send(news)
				<-got
				if cold {
					one.Close()
					one = mesh.New(one.Options)
				}
			}
			b.ReportMetric(float64(processTime()-began)/float64(b.N)/1e3, "cpu-µs/op")
			one.Close()
		})
	}
}
