package mailbox

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestTake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBox[int](nil)
		start := time.Now()
		after := func(want time.Duration) {
			t.Helper()
			if got := time.Since(start); got != want {
				t.Errorf("after %v, want %v", got, want)
			}
		}
		if got := b.Take(0); len(got) != 0 {
			t.Error(got)
		}
		if got := b.Take(time.Second); len(got) != 0 {
			t.Error(got)
		}
		after(time.Second)
		b.Put(1)
		b.Put(2)
		if d := cmp.Diff([]int{1, 2}, b.Take(-1)); d != "" {
			t.Error(d)
		}
		// The notification for the second message is still pending: it must not end the wait.
		if got := b.Take(time.Second); len(got) != 0 {
			t.Error(got)
		}
		after(2 * time.Second)
		go func() {
			time.Sleep(time.Minute)
			b.Put(3)
		}()
		if d := cmp.Diff([]int{3}, b.Take(-1)); d != "" {
			t.Error(d)
		}
		after(62 * time.Second)
	})
}

// Messages of each sender arrive in the order sent, and none is lost.
func TestManySenders(t *testing.T) {
	b := NewBox[[2]int](nil)
	const senders, each = 8, 1000
	var senderGroup sync.WaitGroup
	for s := range senders {
		senderGroup.Go(func() {
			for i := range each {
				b.Put([2]int{s, i})
			}
		})
	}
	next := [senders]int{}
	for n := 0; n < senders*each; {
		for _, m := range b.Take(-1) {
			if m[1] != next[m[0]] {
				t.Fatalf("sender %d: message %d, want %d", m[0], m[1], next[m[0]])
			}
			next[m[0]]++
			n++
		}
	}
	senderGroup.Wait()
}

// Measures a round trip of one message between two goroutines.
func BenchmarkBox(b *testing.B) {
	there, back := NewBox[int](nil), NewBox[int](nil)
	go func() {
		for {
			for _, m := range there.Take(time.Minute) {
				if back.Put(m); m < 0 {
					return
				}
			}
		}
	}()
	b.ReportAllocs()
	for b.Loop() {
		there.Put(1)
		back.Take(time.Minute)
	}
	there.Put(-1)
}
