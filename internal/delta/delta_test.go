package delta

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
)

// testConfig returns a text like an operator's configuration, with the given entries changed.
func testConfig(epoch, routes int, changed ...int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"Epoch":"%08x","Sockets":[`, epoch)
	r := rand.New(rand.NewPCG(7, 7))
	for i := range routes {
		ms := 600
		for _, c := range changed {
			if c == i {
				ms = 603
			}
		}
		fmt.Fprintf(&b, `{"Name":"r-%x","RouteClass":"pure","Predicate":{"PathPrefix":"/%x/"},"Effect":{"Backend":"%x","DeadlineMs":%d}},`,
			r.Uint32(), r.Uint32(), r.Uint32(), ms)
	}
	return append(b.Bytes(), "]}"...)
}

func TestSmallChanges(t *testing.T) {
	base := testConfig(7, 4800)
	for _, text := range [][]byte{testConfig(8, 4800), testConfig(8, 4800, 0), testConfig(9, 4800, 17, 2400, 4799), testConfig(16, 4801), testConfig(8, 4799)} {
		d, ok := New(base, text)
		if !ok || len(d.Ops) > 500 {
			t.Errorf("%v, %d bytes for a change of %d", ok, len(d.Ops), len(text))
		}
		if got, err := d.Apply(base); err != nil || !bytes.Equal(got, text) {
			t.Error(err)
		}
	}
}

// TestRandomChanges makes texts from each other by random deletions, copies, insertions and overwrites.
func TestRandomChanges(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	deltas := 0
	for range 3000 {
		base := testConfig(1, 1+r.IntN(40))
		text := bytes.Clone(base)
		for range r.IntN(6) {
			i, j := r.IntN(len(text)+1), r.IntN(len(text)+1)
			i, j = min(i, j), min(max(i, j), min(i, j)+400)
			switch part := bytes.Clone(text[i:j]); r.IntN(4) {
			case 0:
				text = append(text[:i:i], text[j:]...)
			case 1:
				text = append(bytes.Clone(text), part...)
			case 2:
				text = append(append(bytes.Clone(part), text[:i]...), text[i:]...)
			default:
				for k := range part {
					text[i+k] = byte(r.IntN(256))
				}
			}
		}
		if d, ok := New(base, text); ok {
			deltas++
			if got, err := d.Apply(base); err != nil || !bytes.Equal(got, text) {
				t.Fatal(err)
			}
		}
	}
	if deltas < 2000 {
		t.Errorf("only %d of 3000 had a delta", deltas)
	}
}

func TestFullText(t *testing.T) {
	if _, ok := NewFull(testConfig(1, 100)); ok {
		t.Error("a short text was compressed")
	}
	text := testConfig(1, 1000)
	d, ok := NewFull(text)
	if got, err := d.Apply(nil); !ok || err != nil || !bytes.Equal(got, text) {
		t.Error(ok, err)
	}
}

func TestUnrelatedTexts(t *testing.T) {
	noise := make([]byte, 20000)
	for i := range noise {
		noise[i] = byte(rand.Uint32())
	}
	if _, ok := New(testConfig(1, 100), noise); ok {
		t.Error("noise has a short delta")
	}
	if _, ok := NewFull(noise); ok {
		t.Error("noise was compressed")
	}
}

// TestDamagedDelta damages each byte of a delta, and truncates it: Apply never returns another text than
// the intended one.
func TestDamagedDelta(t *testing.T) {
	base := testConfig(1, 200)
	text := testConfig(2, 200, 3, 100)
	d, _ := New(base, text)
	if _, err := d.Apply(text); !errors.Is(err, ErrWrongBase) {
		t.Error(err)
	}
	for i := range d.Ops {
		for _, x := range []byte{1, 0x80, 0xff} {
			damaged := d
			damaged.Ops = bytes.Clone(d.Ops)
			damaged.Ops[i] ^= x
			if got, err := damaged.Apply(base); err == nil && !bytes.Equal(got, text) {
				t.Fatalf("byte %d", i)
			}
		}
		damaged := d
		damaged.Ops = d.Ops[:i]
		if got, err := damaged.Apply(base); err == nil && !bytes.Equal(got, text) {
			t.Fatalf("cut at %d", i)
		}
	}
	for _, size := range []int{-1, 0, MaxTextSize + 1} {
		damaged := d
		damaged.Size = size
		if _, err := damaged.Apply(base); !errors.Is(err, ErrDamaged) {
			t.Error(size, err)
		}
	}
}

func BenchmarkMake(b *testing.B) {
	base, text := testConfig(7, 16800), testConfig(8, 16800, 8000)
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		New(base, text)
	}
}

func BenchmarkApply(b *testing.B) {
	base, text := testConfig(7, 16800), testConfig(8, 16800, 8000)
	d, _ := New(base, text)
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		_, _ = d.Apply(base)
	}
}
