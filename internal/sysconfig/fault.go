// Package sysconfig reads the settings file of a process and the configurations that
// operators submit. Everything it returns is fully validated, so callers don't validate
// it again.
package sysconfig

import (
	"strconv"
	"strings"
)

// Fault is an error in a settings file or a configuration, with its location.
type Fault struct {
	File string // empty for a configuration, which arrives over the network
	Line int    // 0 if unknown
	Key  string // such as Sockets[1].Policy[0].Effect.DeadlineMs; empty for the whole text
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
