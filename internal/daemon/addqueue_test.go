package daemon

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"asterwell/internal/memberlist"
	"asterwell/internal/quotas"
)

func newAdd(n int) *frame {
	return &frame{From: "g", Msg: quotas.Add{Incarnation: 1, Timestamp: time.Duration(n)}}
}

// TestAddQueue: in a short queue adds wait as long as necessary; in a long one those too old to be of use
// are dropped, and the newer ones are counted in order.
func TestAddQueue(t *testing.T) {
	start := time.Now()
	var a addQueue
	push := func(from, to int, at time.Time) {
		for n := from; n < to; n++ {
			f := newAdd(n)
			a.pending.Add(1)
			if !a.push(f, at) {
				t.Fatal("an add was not queued")
			}
		}
	}
	if a.push(&frame{Msg: memberlist.Heartbeat{}}, start) {
		t.Fatal("a heartbeat was queued among adds")
	}
	taken := func(now time.Time) (got []int) {
		for f := a.pop(now); f != nil; f = a.pop(now) {
			got = append(got, int(f.Msg.(quotas.Add).Timestamp))
		}
		return got
	}
	push(0, smallQueue, start)
	if got := taken(start.Add(time.Second)); len(got) != smallQueue || got[0] != 0 || got[smallQueue-1] != smallQueue-1 {
		t.Errorf("short queue, after a second: %v", got)
	}
	push(0, 300, start)
	push(300, 1000, start.Add(20*time.Millisecond))
	if got := taken(start.Add(50 * time.Millisecond)); len(got) != 700 || got[0] != 300 || got[699] != 999 || a.dropped.Load() != 300 {
		t.Errorf("long queue, after 50 ms: %d from %d, %d dropped", len(got), got[0], a.dropped.Load())
	}
	push(0, 5000, start)
	for range 10 { // the queue is never empty here, and its memory must not grow
		push(0, 1000, start.Add(time.Second))
		for range 1000 {
			a.pop(start)
		}
	}
	if len(taken(start)) != 5000 || cap(a.entries) > 20_000 {
		t.Errorf("capacity %d", cap(a.entries))
	}
	if a.pending.Load() != 0 || a.full() {
		t.Errorf("%d are pending", a.pending.Load())
	}
	push(0, maxQueuedAdds, start)
	if !a.full() {
		t.Error("the queue has its maximal length, and isn't full")
	}
}

// TestFullQueueSkipsAdds: adds that would be dropped anyway aren't decoded, and the frames behind them
// are.
func TestFullQueueSkipsAdds(t *testing.T) {
	var out, in frameCounters
	var wire bytes.Buffer
	for _, msg := range []any{quotas.Add{Incarnation: 7}, memberlist.Ping{}} {
		wire.Write(out.codec(nil).Encode(&frame{From: "127.0.0.1:1", Msg: msg}))
	}
	r := bufio.NewReader(&wire)
	codec := in.codec(func() bool { return true })
	if f, size, err := codec.Decode(r); f != nil || size == 0 || err != nil {
		t.Errorf("%+v, %d, %v", f, size, err)
	}
	if f, _, err := codec.Decode(r); err != nil || f.Msg != (memberlist.Ping{}) {
		t.Errorf("%+v, %v", f, err)
	}
}
