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
	var queue addQueue
	pushRange := func(from, to int, at time.Time) {
		for n := from; n < to; n++ {
			f := newAdd(n)
			queue.pending.Add(1)
			if !queue.push(f, at) {
				t.Fatal("an add was not queued")
			}
		}
	}
	if queue.push(&frame{Msg: memberlist.Heartbeat{}}, start) {
		t.Fatal("a heartbeat was queued among adds")
	}
	popAll := func(now time.Time) (got []int) {
		for f := queue.pop(now); f != nil; f = queue.pop(now) {
			got = append(got, int(f.Msg.(quotas.Add).Timestamp))
		}
		return got
	}
	pushRange(0, smallQueue, start)
	if got := popAll(start.Add(time.Second)); len(got) != smallQueue || got[0] != 0 || got[smallQueue-1] != smallQueue-1 {
		t.Errorf("short queue, after a second: %v", got)
	}
	pushRange(0, 300, start)
	pushRange(300, 1000, start.Add(20*time.Millisecond))
	if got := popAll(start.Add(50 * time.Millisecond)); len(got) != 700 || got[0] != 300 || got[699] != 999 || queue.dropped.Load() != 300 {
		t.Errorf("long queue, after 50 ms: %d from %d, %d dropped", len(got), got[0], queue.dropped.Load())
	}
	pushRange(0, 5000, start)
	for range 10 { // the queue is never empty here, and its memory must not grow
		pushRange(0, 1000, start.Add(time.Second))
		for range 1000 {
			queue.pop(start)
		}
	}
	if len(popAll(start)) != 5000 || cap(queue.entries) > 20_000 {
		t.Errorf("capacity %d", cap(queue.entries))
	}
	if queue.pending.Load() != 0 || queue.full() {
		t.Errorf("%d are pending", queue.pending.Load())
	}
	pushRange(0, maxQueuedAdds, start)
	if !queue.full() {
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
