package daemon

import (
	"bufio"
	"bytes"
	"reflect"
	"testing"

	"asterwell/internal/consensus"
)

// A frame that is cut at any of its bytes is no frame, and one that is damaged is no reason to
// fall over; whole ones come as they were sent, one behind the other.
func TestFramesCut(t *testing.T) {
	for _, all := range machines {
		for _, msg := range all {
			b := encode(&frame{From: "10.0.0.1:7000", Msg: msg})
			for n := range len(b) {
				if f, _, err := read(bufio.NewReader(bytes.NewReader(b[:n]))); err == nil {
					t.Fatalf("%T cut at %d of %d: %+v", msg, n, len(b), f)
				}
				if n < 2 {
					continue // another length: it would be waited for
				}
				for _, with := range []byte{0, 1, 0x7f, 0xff} {
					damaged := bytes.Clone(b)
					damaged[n] = with
					read(bufio.NewReader(bytes.NewReader(damaged)))
				}
			}
			in := bufio.NewReader(bytes.NewReader(append(bytes.Clone(b), b...)))
			for range 2 {
				f, size, err := read(in)
				if err != nil || size != len(b) || f.From != "10.0.0.1:7000" || reflect.TypeOf(f.Msg) != reflect.TypeOf(msg) {
					t.Fatalf("%T: %+v, %d bytes, %v", msg, f, size, err)
				}
			}
		}
	}
}

// A call's answer is its own: one that comes twice counts once, and one that comes when its call
// has ended, or of a number that was never given, is nobody's.
func TestCallsAnswers(t *testing.T) {
	p, first := &Process{}, uint64(0)
	got := p.ask(func(call uint64) {
		first = call
		p.reply(call, consensus.Answer{ID: 1})
		p.reply(call, consensus.Answer{ID: 2})
	})
	if a, ok := got.(consensus.Answer); !ok || a.ID != 1 {
		t.Errorf("answered twice: got %v", got)
	}
	got = p.ask(func(call uint64) {
		p.reply(first, "late")
		p.reply(call+1, "of no call")
		p.reply(call, "own")
	})
	if got != "own" {
		t.Errorf("got %v", got)
	}
	left := 0
	p.waits.Range(func(any, any) bool { left++; return true })
	if left != 0 {
		t.Errorf("%d calls are still waited for", left)
	}
}
