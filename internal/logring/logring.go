// Package logring keeps the last log lines in a ring in memory. Lines below the level that is written at
// once are written out only when an error occurs.
package logring

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
)

// Ring is a handler of apex/log that keeps the last lines. Those below the write level stay unwritten
// until an error occurs.
type Ring struct {
	mu         sync.Mutex
	out        io.Writer
	writeLevel log.Level // lines from this level on are written at once
	lines      []entry
	nextIndex  int
	start      time.Time
	name       string
}

type entry struct {
	line    string
	written bool
}

// New returns a Ring that keeps size lines.
func New(out io.Writer, name string, size int, level log.Level) *Ring {
	return &Ring{out: out, name: name, writeLevel: level, lines: make([]entry, size), start: time.Now()}
}

// HandleLog records a line. An error also writes out the lines before it.
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
		r.writePending()
	}
	written := e.Level >= r.writeLevel
	r.lines[r.nextIndex] = entry{line, written}
	r.nextIndex = (r.nextIndex + 1) % len(r.lines)
	if !written {
		return nil
	}
	_, err := fmt.Fprintln(r.out, line)
	return err
}

// Lines returns the kept lines, the oldest first.
func (r *Ring) Lines() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines []string
	for i := range r.lines {
		if e := r.entryAt(i); e.line != "" {
			lines = append(lines, e.line)
		}
	}
	return lines
}

// entryAt returns the i-th entry, counted from the oldest.
func (r *Ring) entryAt(i int) *entry { return &r.lines[(r.nextIndex+i)%len(r.lines)] }

// writePending writes out the lines that haven't been written.
func (r *Ring) writePending() {
	for i := range r.lines {
		if e := r.entryAt(i); e.line != "" && !e.written {
			fmt.Fprintln(r.out, "  |", e.line)
			e.written = true
		}
	}
}
