// Package fsm has what the state machines of the system share. A machine takes
// inputs with the time they came at, and returns what to send, write and answer;
// it has no sockets, files, clock or chance of its own.
package fsm

import "time"

// Send is a message for the process that listens at a mesh address. It may be
// lost, come late or twice: who must know that it has come asks for an answer.
type Send struct {
	To  string
	Msg any
}

// Time is steady, and counted from any moment that one process has chosen.
type Time = time.Duration
