// Package logring keeps what the system says of itself: the last lines in a ring in
// memory, written out when something goes wrong, and little else.
package logring

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
)

// Ring is a handler of apex/log. It keeps the last lines; those below the level that is
// written wait in it for an error.
type Ring struct {
	mu    sync.Mutex
	out   io.Writer
	level log.Level // written at once from here on
	lines []entry
	next  int
	start time.Time
	name  string
}

type entry struct {
	line    string
	written bool
}

// NewRing returns one that keeps so many lines.
func New(out io.Writer, name string, keep int, level log.Level) *Ring {
	return &Ring{out: out, name: name, level: level, lines: make([]entry, keep), start: time.Now()}
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
	written := e.Level >= r.level
	r.lines[r.next] = entry{line, written}
	r.next = (r.next + 1) % len(r.lines)
	if !written {
		return nil
	}
	_, err := fmt.Fprintln(r.out, line)
	return err
}

// Lines are those kept, the oldest first.
func (r *Ring) Lines() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines []string
	for i := range r.lines {
		if e := r.at(i); e.line != "" {
			lines = append(lines, e.line)
		}
	}
	return lines
}

// at counts from the oldest.
func (r *Ring) at(i int) *entry { return &r.lines[(r.next+i)%len(r.lines)] }

// dump writes out what has not been.
func (r *Ring) dump() {
	for i := range r.lines {
		if e := r.at(i); e.line != "" && !e.written {
			fmt.Fprintln(r.out, "  |", e.line)
			e.written = true
		}
	}
}
