// Package adminapi is what operators are shown of a process: one form for the process that
// fills it in and the client that reads it. Times that say how long are in seconds.
package adminapi

import "time"

// Members are the gateways as one of them sees them.
type Members struct {
	Asked, Mesh string   // who tells it
	ContactS    *float64 // since that one had contact with most of the core for certain; -1: not since its start; null: an older program, which doesn't say
	Draining    bool     // it does
	Gateways    []Gateway
}

// Gateway is a process of the system.
type Gateway struct {
	Name, Zone, Addr, Control string
	Core                      bool      // of it by its settings
	State                     string    // up, leaving, gone
	ForS                      float64   // it is that, as seen by the one that was asked
	Ready                     bool      // clients may be sent to it
	Started                   time.Time // by its own clock
	NewsS                     float64   // since the one that was asked last heard of it
	Watched                   bool      // by the one that was asked; else it hears only of changes
	Watchers                  []string  // names of those that its heartbeats go to
	Holds                     string    // the version in force there
}

// Services are the servers as one gateway sees them.
type Services struct {
	Asked, Mesh string
	ContactS    *float64 // as in Members
	Servers     []Server
}

// Server is one life of a server.
type Server struct {
	ID, Service, Endpoint, Zone, Epoch string

	Capacity  int
	Phase     string
	WarmLeftS float64
	BeatS     *float64 // since its last beat; null: none came to the one that was asked
	Home      string   // the gateway that it beats to
	HomeAt    string   // that one's control address
}

// Epochs are what one process has seen of agreement since its start, the newest last.
type Epochs struct {
	Asked, Mesh string
	ContactS    *float64 // as in Members
	Role        string   // follower, member, candidate, primary
	Epochs      []Epoch
}

// Epoch is a time in which the core's duties stay.
type Epoch struct {
	Epoch uint64
	At    time.Time // it became known here
	Seats []CoreMember
}

// Seat is a machine of the core.
type CoreMember struct{ Name, Zone, Addr, Does string }
