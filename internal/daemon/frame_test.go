package daemon

import (
	"bufio"
	"bytes"
	"reflect"
	"testing"

	"asterwell/internal/consensus"
)

// TestTruncatedAndDamagedFrames: a frame that is truncated at any byte is an error, a damaged one doesn't
// cause a panic, and intact frames in a row are decoded as they were sent.
func TestTruncatedAndDamagedFrames(t *testing.T) {
	for _, all := range messageTypes {
		for _, msg := range all {
			b := encode(&frame{From: "10.0.0.1:7000", Msg: msg})
			for n := range len(b) {
				if f, _, err := read(bufio.NewReader(bytes.NewReader(b[:n]))); err == nil {
					t.Fatalf("%T cut at %d of %d: %+v", msg, n, len(b), f)
				}
				if n < 2 {
					continue // a greater length would wait for more bytes
				}
				for _, value := range []byte{0, 1, 0x7f, 0xff} {
					damaged := bytes.Clone(b)
					damaged[n] = value
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

// TestCallGetsItsOwnAnswer: a second answer to a call is dropped, and so are answers to calls that have
// ended or never existed.
func TestCallGetsItsOwnAnswer(t *testing.T) {
	p, first := &Process{}, uint64(0)
	got := p.call(func(call uint64) {
		first = call
		p.reply(call, consensus.Answer{ID: 1})
		p.reply(call, consensus.Answer{ID: 2})
	})
	if a, ok := got.(consensus.Answer); !ok || a.ID != 1 {
		t.Errorf("answered twice: got %v", got)
	}
	got = p.call(func(call uint64) {
		p.reply(first, "late")
		p.reply(call+1, "of no call")
		p.reply(call, "own")
	})
	if got != "own" {
		t.Errorf("got %v", got)
	}
	pending := 0
	p.pendingCalls.Range(func(any, any) bool { pending++; return true })
	if pending != 0 {
		t.Errorf("%d calls are still pending", pending)
	}
}
