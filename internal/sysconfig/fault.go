// Package sysconfig reads what a process is told: its settings file, and the
// configurations that operators send. What it returns has been checked whole, so
// nobody behind it checks again.
package sysconfig

import (
	"strconv"
	"strings"
)

// Fault is one thing that is wrong, named so that whoever wrote it finds it.
type Fault struct {
	File string // empty for a configuration, which comes over the network
	Line int    // 0 where none is known
	Key  string // as Sockets[1].Policy[0].Effect.DeadlineMs; empty for the whole
	Why  string
}

func (f *Fault) Error() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		if f.Line > 0 {
			b.WriteString(":" + strconv.Itoa(f.Line))
		}
		b.WriteString(": ")
	}
	if f.Key != "" {
		b.WriteString(f.Key + ": ")
	}
	b.WriteString(f.Why)
	return b.String()
}
