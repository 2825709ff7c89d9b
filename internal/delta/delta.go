// Package delta encodes a text as its difference to another text (delta encoding), for changes to a large
// configuration, most of which stays the same.
//
// A delta is a sequence of operations: copy a range of the base, or insert literal bytes. It contains the
// checksums of both texts, so it is never applied to another base and never yields another text. The
// package is deterministic, and uses no clock.
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

// Errors of Apply, which never changes the base.
var (
	ErrWrongBase = errors.New("delta is for another base")
	ErrDamaged   = errors.New("delta is damaged")
)

// MaxTextSize bounds the text that a delta may produce.
const MaxTextSize = 16 << 20

// Delta produces a text from its base. The base of a full text is the empty text.
type Delta struct {
	BaseSum    uint64 `cbor:"1,keyasint"` // checksum of the base
	ResultSum  uint64 `cbor:"2,keyasint"` // checksum of the result
	Size       int    `cbor:"3,keyasint"` // length of the result
	Ops        []byte `cbor:"4,keyasint"`
	Compressed bool   `cbor:"5,keyasint,omitempty"` // Ops are compressed
}

// Checksum detects damage; it is no protection against forgery.
func Checksum(text []byte) uint64 { return xxhash.Sum64(text) }

const (
	blockSize        = 32       // bytes of a block of the base that can be found by its contents
	minCompressedOps = 4 << 10  // bytes of operations from which compression is worthwhile
	minTextSize      = 512      // shorter texts are not worth a delta
	minFullSize      = 32 << 10 // shorter full texts are sent as they are
	minMatch         = 24       // a shorter match costs as much as the literal bytes
	maxIndexedBlocks = 64 << 10 // limit of the index's size
)

// New returns the delta from base to text; false: it is not smaller than half of the text, compressed.
func New(base, text []byte) (Delta, bool) {
	if len(text) < minTextSize || len(text) > MaxTextSize {
		return Delta{}, false
	}
	steps, ok := diff(base, text)
	if !ok {
		return Delta{}, false
	}
	d := Delta{BaseSum: Checksum(base), ResultSum: Checksum(text), Size: len(text), Ops: steps}
	d.compress()
	return d, len(d.Ops) < len(text)/2
}

// NewFull returns a text as a compressed delta to the empty text, for receivers without a similar text.
// False: a short text had better be sent as it is, since compression takes a megabyte of memory for a
// moment.
func NewFull(text []byte) (Delta, bool) {
	if len(text) < minFullSize {
		return Delta{}, false
	}
	d := Delta{BaseSum: Checksum(nil), ResultSum: Checksum(text), Size: len(text), Ops: appendLiteral(nil, text)}
	d.compress()
	return d, d.Compressed && len(text) <= MaxTextSize && len(d.Ops) < len(text)/2
}

// Identity returns the delta from a text to itself, which identifies the text to a receiver that has it.
func Identity(text []byte) *Delta {
	sum := Checksum(text)
	return &Delta{BaseSum: sum, ResultSum: sum, Size: len(text), Ops: appendCopy(nil, 0, len(text))}
}

func (d *Delta) compress() {
	if len(d.Ops) < minCompressedOps {
		return
	}
	if packed, ok := Compress(nil, d.Ops); ok {
		d.Ops, d.Compressed = packed, true
	}
}

// Compress appends compressed data to prefix; false: it is no shorter than the data.
func Compress(prefix, data []byte) ([]byte, bool) {
	b := bytes.NewBuffer(append(make([]byte, 0, len(prefix)+len(data)/4), prefix...))
	w, err := flate.NewWriter(b, flate.BestSpeed)
	if err != nil {
		return nil, false // can't happen: the level is valid
	}
	_, _ = w.Write(data) // can't fail: it writes to memory
	if w.Close() != nil || b.Len() >= len(data) {
		return nil, false
	}
	return b.Bytes(), true
}

// Decompress returns the data if it is not longer than limit.
func Decompress(packed []byte, limit int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), int64(limit)+1))
	if err == nil && len(data) > limit {
		err = errors.New("decompressed data exceeds its limit")
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return data, nil
}

// An operation starts with twice its length. For literal bytes one is added, and the bytes follow; else
// the position in the base follows.
func appendLiteral(ops, text []byte) []byte {
	if len(text) == 0 {
		return ops
	}
	return append(binary.AppendUvarint(ops, uint64(len(text))<<1|1), text...)
}

func appendCopy(ops []byte, pos, n int) []byte {
	return binary.AppendUvarint(binary.AppendUvarint(ops, uint64(n)<<1), uint64(pos))
}

// diff returns the operations that make text from base. It gives up if over half of the text is literal
// bytes, since more time would not be worth it.
func diff(base, text []byte) (ops []byte, ok bool) {
	var blocks map[uint64]int32                 // built on demand: most changes are in one place
	unmatched, literalBytes, basePos := 0, 0, 0 // start of the bytes not covered by ops; literal bytes so far; where the base is expected to continue
	for i := 0; i < len(text); {
		length := commonPrefix(base[min(basePos, len(base)):], text[i:])
		if length < minMatch && i+blockSize <= len(text) {
			if blocks == nil {
				blocks = indexBlocks(base)
			}
			if p, found := blocks[xxhash.Sum64(text[i:i+blockSize])]; found {
				if m := commonPrefix(base[p:], text[i:]); m >= blockSize {
					basePos, length = int(p), m
					for basePos > 0 && i > unmatched && base[basePos-1] == text[i-1] { // the match starts before its block
						basePos, i, length = basePos-1, i-1, length+1
					}
				}
			}
		}
		if length < minMatch {
			i++
			basePos++ // expects bytes that replace as many others
			if literalBytes++; literalBytes > len(text)/2 {
				return nil, false
			}
			continue
		}
		ops = appendCopy(appendLiteral(ops, text[unmatched:i]), basePos, length)
		i, basePos = i+length, basePos+length
		unmatched = i
	}
	return appendLiteral(ops, text[unmatched:]), true
}

func indexBlocks(base []byte) map[uint64]int32 {
	stride := blockSize
	for len(base)/stride > maxIndexedBlocks {
		stride *= 2
	}
	positions := make(map[uint64]int32, len(base)/stride)
	for p := 0; p+blockSize <= len(base); p += stride {
		positions[xxhash.Sum64(base[p:p+blockSize])] = int32(p)
	}
	return positions
}

// commonPrefix returns the number of bytes that two texts have in common at their start.
func commonPrefix(a, b []byte) int {
	n, limit := 0, min(len(a), len(b))
	for n+8 <= limit && binary.LittleEndian.Uint64(a[n:]) == binary.LittleEndian.Uint64(b[n:]) {
		n += 8
	}
	for n < limit && a[n] == b[n] {
		n++
	}
	return n
}

// Apply returns the text that the delta makes from its base.
func (d Delta) Apply(base []byte) ([]byte, error) {
	if d.Size < 0 || d.Size > MaxTextSize {
		return nil, fmt.Errorf("%w: size %d", ErrDamaged, d.Size)
	}
	if Checksum(base) != d.BaseSum {
		return nil, ErrWrongBase
	}
	ops := d.Ops
	if d.Compressed {
		var err error
		if ops, err = Decompress(ops, 2*d.Size+1024); err != nil { // operations are hardly longer than the text that they produce
			return nil, err
		}
	}
	text := make([]byte, 0, d.Size)
	for len(ops) > 0 {
		x, k := binary.Uvarint(ops)
		if k <= 0 || x>>1 > uint64(d.Size-len(text)) {
			return nil, fmt.Errorf("%w: invalid length", ErrDamaged)
		}
		n := int(x >> 1)
		ops = ops[k:]
		if x&1 == 1 {
			if n > len(ops) {
				return nil, fmt.Errorf("%w: missing bytes", ErrDamaged)
			}
			text, ops = append(text, ops[:n]...), ops[n:]
			continue
		}
		at, k := binary.Uvarint(ops)
		if k <= 0 || at > uint64(len(base)) || uint64(n) > uint64(len(base))-at {
			return nil, fmt.Errorf("%w: invalid position", ErrDamaged)
		}
		text, ops = append(text, base[at:int(at)+n]...), ops[k:]
	}
	if len(text) != d.Size || Checksum(text) != d.ResultSum {
		return nil, fmt.Errorf("%w: checksum mismatch", ErrDamaged)
	}
	return text, nil
}
