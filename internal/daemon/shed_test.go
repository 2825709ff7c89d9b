package daemon

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"asterwell/internal/memberlist"
	"asterwell/internal/quotas"
)

func add(n int) *frame {
	return &frame{From: "g", Msg: quotas.Add{Incarnation: 1, Timestamp: time.Duration(n)}}
}

// TestShed: few adds wait for as long as it takes; of many, those too old to be of use are dropped, and the newer ones are counted in order.
func TestShed(t *testing.T) {
	start := time.Now()
	var a adds
	push := func(from, to int, at time.Time) {
		for n := from; n < to; n++ {
			f := add(n)
			a.waiting.Add(1)
			if !a.put(f, at) {
				t.Fatal("an add is not taken")
			}
		}
	}
	if a.put(&frame{Msg: memberlist.Heartbeat{}}, start) {
		t.Fatal("a sign of life waits among adds")
	}
	taken := func(now time.Time) (got []int) {
		for f := a.next(now); f != nil; f = a.next(now) {
			got = append(got, int(f.Msg.(quotas.Add).Timestamp))
		}
		return got
	}
	push(0, fewAdds, start)
	if got := taken(start.Add(time.Second)); len(got) != fewAdds || got[0] != 0 || got[fewAdds-1] != fewAdds-1 {
		t.Errorf("few, a second late: %v", got)
	}
	push(0, 300, start)
	push(300, 1000, start.Add(20*time.Millisecond))
	if got := taken(start.Add(50 * time.Millisecond)); len(got) != 700 || got[0] != 300 || got[699] != 999 || a.dropped.Load() != 300 {
		t.Errorf("many, 50 ms late: %d from %d, %d dropped", len(got), got[0], a.dropped.Load())
	}
	push(0, 5000, start)
	for range 10 { // between counts the queue goes on and its memory doesn't grow
		push(0, 1000, start.Add(time.Second))
		for range 1000 {
			a.next(start)
		}
	}
	if len(taken(start)) != 5000 || cap(a.all) > 20_000 {
		t.Errorf("room for %d", cap(a.all))
	}
	if a.waiting.Load() != 0 || a.full() {
		t.Errorf("%d wait", a.waiting.Load())
	}
	push(0, mostAdds, start)
	if !a.full() {
		t.Error("as many as there may be, and it is not full")
	}
}

// TestSkip: where adds are to be dropped anyway they aren't decoded, and what comes behind them is.
func TestSkip(t *testing.T) {
	var out, in tally
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
