// Package fsm holds what the state machines of the system have in common. A machine takes inputs with the
// time they came at, and returns what to send, to write and to answer; it has no sockets, files, clock or
// source of randomness of its own.
package fsm

import "time"

// Send is a message for the process with this mesh address. It may be lost, delayed or duplicated: a
// sender that needs to know that it arrived asks for an answer.
type Send struct {
	To  string
	Msg any
}

// Time is monotonic, and measured from an arbitrary point that each process chooses for itself.
type Time = time.Duration
