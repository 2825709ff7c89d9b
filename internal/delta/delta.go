// Package delta has a text as a difference to another one (delta encoding): what a change of a
// large configuration is, most of which stays as it was.
//
// A difference is a row of steps: so many bytes of the base from there on, or bytes of its own.
// It names both texts by their sums, so that it is never put on another base, and what comes
// out is never another text. Pure: no clock, no chance.
package delta

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// Errors of Apply. The base is unchanged after any.
var (
	ErrWrongBase = errors.New("the difference is to another text")
	ErrDamaged   = errors.New("the difference is damaged")
)

// Most is how long a text that comes out of a difference may be.
const MaxTextSize = 16 << 20

// Delta makes one text of another. The base of a whole text is the empty one.
type Delta struct {
	BaseSum    uint64 `cbor:"1,keyasint"` // sum of the base
	ResultSum  uint64 `cbor:"2,keyasint"` // of the text that comes out
	Size       int    `cbor:"3,keyasint"` // its length
	Ops        []byte `cbor:"4,keyasint"`
	Compressed bool   `cbor:"5,keyasint,omitempty"` // the steps are packed
}

// Sum tells texts apart. It finds faults, not forgers.
func Checksum(text []byte) uint64 { return xxhash.Sum64(text) }

const (
	block    = 32       // of the base, by whose contents it is found again
	long     = 4 << 10  // steps that are worth packing
	least    = 512      // shorter texts are not worth a difference
	sizeable = 32 << 10 // those that are packed whole
	grain    = 24       // a shorter match costs as much as the bytes themselves
	index    = 64 << 10 // blocks of the base that are looked up, at most
)

// Make is the difference between two texts; false: it is not less than half of the new one,
// packed.
func New(base, text []byte) (Delta, bool) {
	if len(text) < least || len(text) > MaxTextSize {
		return Delta{}, false
	}
	steps, ok := diff(base, text)
	if !ok {
		return Delta{}, false
	}
	d := Delta{BaseSum: Checksum(base), ResultSum: Checksum(text), Size: len(text), Ops: steps}
	d.pack()
	return d, len(d.Ops) < len(text)/2
}

// Whole is a text as a difference to none: for who has nothing near. A short one is as well sent
// as it is: to pack it takes a megabyte for a moment.
func NewFull(text []byte) (Delta, bool) {
	if len(text) < sizeable {
		return Delta{}, false
	}
	d := Delta{BaseSum: Checksum(nil), ResultSum: Checksum(text), Size: len(text), Ops: own(nil, text)}
	d.pack()
	return d, d.Compressed && len(text) <= MaxTextSize && len(d.Ops) < len(text)/2
}

// Same is the difference of a text to itself: it names that text to who has it.
func Identity(text []byte) *Delta {
	sum := Checksum(text)
	return &Delta{BaseSum: sum, ResultSum: sum, Size: len(text), Ops: again(nil, 0, len(text))}
}

func (d *Delta) pack() {
	if len(d.Ops) < long {
		return
	}
	if packed, ok := Compress(nil, d.Ops); ok {
		d.Ops, d.Compressed = packed, true
	}
}

// Pack packs data behind what is in front; false: it gets no shorter.
func Compress(front, data []byte) ([]byte, bool) {
	b := bytes.NewBuffer(append(make([]byte, 0, len(front)+len(data)/4), front...))
	w, err := flate.NewWriter(b, flate.BestSpeed)
	if err != nil {
		return nil, false // a bug: the level is a constant
	}
	_, _ = w.Write(data) // to memory
	if w.Close() != nil || b.Len() >= len(data) {
		return nil, false
	}
	return b.Bytes(), true
}

// Unpack is what was packed, if it is no longer than most.
func Decompress(packed []byte, most int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), int64(most)+1))
	if err == nil && len(data) > most {
		err = errors.New("it unpacks to more than it may")
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return data, nil
}

// step is a length, times two and one more where bytes of its own follow; else the place in
// the base follows.
func own(steps, text []byte) []byte {
	if len(text) == 0 {
		return steps
	}
	return append(binary.AppendUvarint(steps, uint64(len(text))<<1|1), text...)
}

func again(steps []byte, at, n int) []byte {
	return binary.AppendUvarint(binary.AppendUvarint(steps, uint64(n)<<1), uint64(at))
}

// diff gives up where over half of the text is its own: it is not worth more time then.
func diff(base, text []byte) (steps []byte, ok bool) {
	var blocks map[uint64]int32 // built where it is needed: most of a change is in one place
	lone, spent, at := 0, 0, 0  // bytes that no step has yet; of its own so far; where the base may go on
	for i := 0; i < len(text); {
		n := same(base[min(at, len(base)):], text[i:])
		if n < grain && i+block <= len(text) {
			if blocks == nil {
				blocks = blocksOf(base)
			}
			if p, found := blocks[xxhash.Sum64(text[i:i+block])]; found {
				if m := same(base[p:], text[i:]); m >= block {
					at, n = int(p), m
					for at > 0 && i > lone && base[at-1] == text[i-1] { // the match begins before its block
						at, i, n = at-1, i-1, n+1
					}
				}
			}
		}
		if n < grain {
			i++
			at++ // a text of the same length in its place
			if spent++; spent > len(text)/2 {
				return nil, false
			}
			continue
		}
		steps = again(own(steps, text[lone:i]), at, n)
		i, at = i+n, at+n
		lone = i
	}
	return own(steps, text[lone:]), true
}

func blocksOf(base []byte) map[uint64]int32 {
	every := block
	for len(base)/every > index {
		every *= 2
	}
	all := make(map[uint64]int32, len(base)/every)
	for p := 0; p+block <= len(base); p += every {
		all[xxhash.Sum64(base[p:p+block])] = int32(p)
	}
	return all
}

// same is how many bytes two texts have in common at their beginnings.
func same(a, b []byte) int {
	n, most := 0, min(len(a), len(b))
	for n+8 <= most && binary.LittleEndian.Uint64(a[n:]) == binary.LittleEndian.Uint64(b[n:]) {
		n += 8
	}
	for n < most && a[n] == b[n] {
		n++
	}
	return n
}

// Apply makes the text of its base.
func (d Delta) Apply(base []byte) ([]byte, error) {
	if d.Size < 0 || d.Size > MaxTextSize {
		return nil, fmt.Errorf("%w: %d bytes", ErrDamaged, d.Size)
	}
	if Checksum(base) != d.BaseSum {
		return nil, ErrWrongBase
	}
	steps := d.Ops
	if d.Compressed {
		var err error
		if steps, err = Decompress(steps, 2*d.Size+1024); err != nil { // steps are hardly longer than the text that they make
			return nil, err
		}
	}
	text := make([]byte, 0, d.Size)
	for len(steps) > 0 {
		x, k := binary.Uvarint(steps)
		if k <= 0 || x>>1 > uint64(d.Size-len(text)) {
			return nil, fmt.Errorf("%w: a length", ErrDamaged)
		}
		n := int(x >> 1)
		steps = steps[k:]
		if x&1 == 1 {
			if n > len(steps) {
				return nil, fmt.Errorf("%w: bytes are missing", ErrDamaged)
			}
			text, steps = append(text, steps[:n]...), steps[n:]
			continue
		}
		at, k := binary.Uvarint(steps)
		if k <= 0 || at > uint64(len(base)) || uint64(n) > uint64(len(base))-at {
			return nil, fmt.Errorf("%w: a place", ErrDamaged)
		}
		text, steps = append(text, base[at:int(at)+n]...), steps[k:]
	}
	if len(text) != d.Size || Checksum(text) != d.ResultSum {
		return nil, fmt.Errorf("%w: another text comes out", ErrDamaged)
	}
	return text, nil
}
