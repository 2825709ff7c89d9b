// Package adminapi holds the answers of the operators' API, for the process that fills them in and the
// client that reads them. Durations are in seconds.
package adminapi

import "time"

// Members is the answer of GET /api/members: the gateways as one of them sees them.
type Members struct {
	Asked, Mesh string   // the process that answers
	ContactS    *float64 // since the last proven contact with a majority of the core; -1: none since the start; null: an older program, which doesn't report it
	Draining    bool     // the process that answers is draining
	Gateways    []Gateway
}

// Gateway is a process of the system.
type Gateway struct {
	Name, Zone, Addr, Control string
	Core                      bool      // may be a member of the core by its settings
	State                     string    // up, leaving, gone
	ForS                      float64   // time in this state, as seen by the process that answers
	Ready                     bool      // clients may be sent to it
	Started                   time.Time // by its own clock
	NewsS                     float64   // since the process that answers last heard of it
	Watched                   bool      // monitored by the process that answers, which otherwise hears only of changes
	Watchers                  []string  // names of the processes that get its heartbeats
	Holds                     string    // version in force there
}

// Services is the answer of GET /api/services: the servers as one gateway sees them.
type Services struct {
	Asked, Mesh string
	ContactS    *float64 // as in Members
	Servers     []Server
}

// Server is one run of a server.
type Server struct {
	ID, Service, Endpoint, Zone, Epoch string

	Capacity  int
	Phase     string
	WarmLeftS float64
	BeatS     *float64 // since its last heartbeat; null: none came to the process that answers
	Home      string   // the gateway that gets its heartbeats
	HomeAt    string   // control address of that gateway
}

// Epochs is the answer of GET /api/epochs: the consensus epochs that one process has seen since its start,
// the newest last.
type Epochs struct {
	Asked, Mesh string
	ContactS    *float64 // as in Members
	Role        string   // follower, member, candidate, primary
	Epochs      []Epoch
}

// Epoch is a period in which the roles in the core stay the same.
type Epoch struct {
	Epoch uint64
	At    time.Time // when it became known here
	Seats []CoreMember
}

// CoreMember is a member of the core, with its role.
type CoreMember struct{ Name, Zone, Addr, Does string }
