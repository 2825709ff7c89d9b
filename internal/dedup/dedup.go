// Package dedup detects duplicates of operators' commands. A command is known by its number and a digest
// of its text as it was sent. The history of accepted commands is kept together with the state that they
// change, so every holder of the state recognizes a second copy.
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
	// MaxEntries is the number of commands remembered; beyond it the lowest are forgotten.
	MaxEntries = 1024
)

// Digest returns a digest that distinguishes texts.
func Digest(text []byte) []byte {
	s := sha256.Sum256(text)
	return s[:digestSize]
}

// Verdict is what a history knows of a command.
type Verdict uint8

// Verdicts on a command.
const (
	Unused      Verdict = iota // the number was never used
	Same                       // the command was accepted
	Conflicting                // the number was used for another text
	Unknown                    // the number is below all that are remembered: the command may have been accepted
)

// History holds the numbers and digests of accepted commands, the lowest first. An empty one knows nothing
// of any command.
type History []byte

// New returns the history of a state that no command was ever accepted for.
func New() History { return make(History, entrySize) }

// NewFromLast returns the history of a state of which only the last command is known.
func NewFromLast(number uint32, text []byte) History { return History(nil).With(number, Digest(text)) }

// Len returns the number of entries.
func (h History) Len() int { return len(h) / entrySize }

func (h History) number(i int) uint32 { return binary.BigEndian.Uint32(h[i*entrySize:]) }

// find returns the index of a number, or where it would be inserted.
func (h History) find(number uint32) (at int, ok bool) {
	for at < h.Len() && h.number(at) < number {
		at++
	}
	return at, at < h.Len() && h.number(at) == number
}

// Lookup returns what is known of a command.
func (h History) Lookup(number uint32, digest []byte) Verdict {
	at, ok := h.find(number)
	switch {
	case at == 0 && !ok:
		return Unknown
	case !ok:
		return Unused
	case bytes.Equal(h[at*entrySize+4:(at+1)*entrySize], digest):
		return Same
	}
	return Conflicting
}

// With returns a history that includes one more command. A number that is already accepted keeps its text,
// and one below all that are remembered is not added.
func (h History) With(number uint32, digest []byte) History {
	at, ok := h.find(number)
	if ok || at == 0 && len(h) > 0 {
		return h
	}
	entry := append(binary.BigEndian.AppendUint32(nil, number), digest...)
	entries := slices.Concat(h[:at*entrySize], entry, h[at*entrySize:])
	return entries[max(0, len(entries)-MaxEntries*entrySize):]
}
