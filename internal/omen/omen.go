// Package omen keeps what the system says of itself: the last lines in a ring in
// memory, written out when something goes wrong, and little else.
package omen

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
)

// Ring is a handler of apex/log. Lines below the level that is written wait in it.
type Ring struct {
	mu    sync.Mutex
	out   io.Writer
	level log.Level // written at once from here on
	lines []string
	next  int
	start time.Time
	name  string
}

// NewRing returns one that keeps so many lines.
func NewRing(out io.Writer, name string, keep int, level log.Level) *Ring {
	return &Ring{out: out, name: name, level: level, lines: make([]string, keep), start: time.Now()}
}

// HandleLog takes a line. An error writes out what led to it.
func (r *Ring) HandleLog(e *log.Entry) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%8.3f %s %s %s", time.Since(r.start).Seconds(), r.name, e.Level, e.Message)
	for _, name := range e.Fields.Names() {
		fmt.Fprintf(&b, " %s=%v", name, e.Fields.Get(name))
	}
	line := b.String()
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Level >= log.ErrorLevel {
		r.dump()
	}
	if e.Level >= r.level {
		_, err := fmt.Fprintln(r.out, line)
		return err
	}
	r.lines[r.next] = line
	r.next = (r.next + 1) % len(r.lines)
	return nil
}

// Lines are those kept, the oldest first.
func (r *Ring) Lines() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kept()
}

func (r *Ring) kept() []string {
	all := append(slices.Clone(r.lines[r.next:]), r.lines[:r.next]...)
	return slices.DeleteFunc(all, func(s string) bool { return s == "" })
}

func (r *Ring) dump() {
	for _, line := range r.kept() {
		fmt.Fprintln(r.out, "  |", line)
	}
	clear(r.lines)
}
