// Package dedup tells orders apart: each is known by its number and a digest of its text, as
// it was sent. A ledger goes with the state that the orders change, so that a second copy of one
// is known by whoever has the state.
package dedup

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

const (
	digestSize = 16
	entrySize  = 4 + digestSize
	// Most orders are remembered; of more, the lowest are forgotten.
	MaxEntries = 1024
)

// Digest tells texts apart.
func Digest(text []byte) []byte {
	s := sha256.Sum256(text)
	return s[:digestSize]
}

// Word is what a ledger says of an order.
type Verdict uint8

// The words.
const (
	Unused      Verdict = iota // its number was never used
	Same                       // it was accepted
	Conflicting                // its number was used for another text
	Unknown                    // its number is below all that is remembered: it may have been accepted
)

// Ledger has the numbers and digests of accepted orders, the lowest first. None at all: nothing
// is known of any order.
type History []byte

// New is the ledger of a state that no order was ever accepted for.
func New() History { return make(History, entrySize) }

// Since is the ledger of a state of which only the last order is known.
func NewFromLast(number uint32, text []byte) History { return History(nil).With(number, Digest(text)) }

// Len counts the orders.
func (l History) Len() int { return len(l) / entrySize }

func (l History) number(i int) uint32 { return binary.BigEndian.Uint32(l[i*entrySize:]) }

// find is the place of a number, or where it would be.
func (l History) find(number uint32) (at int, ok bool) {
	for at < l.Len() && l.number(at) < number {
		at++
	}
	return at, at < l.Len() && l.number(at) == number
}

// Of tells what is known of an order.
func (l History) Lookup(number uint32, digest []byte) Verdict {
	at, ok := l.find(number)
	switch {
	case at == 0 && !ok:
		return Unknown
	case !ok:
		return Unused
	case bytes.Equal(l[at*entrySize+4:(at+1)*entrySize], digest):
		return Same
	}
	return Conflicting
}

// With is a ledger with one order more. One that is accepted keeps its text, and what is below
// all that is remembered is not taken in.
func (l History) With(number uint32, digest []byte) History {
	at, ok := l.find(number)
	if ok || at == 0 && len(l) > 0 {
		return l
	}
	entry := append(binary.BigEndian.AppendUint32(nil, number), digest...)
	all := slices.Concat(l[:at*entrySize], entry, l[at*entrySize:])
	return all[max(0, len(all)-MaxEntries*entrySize):]
}
