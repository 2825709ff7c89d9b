// Package systemsim plays days of the whole system in simulated time: processes (package
// controlplane) with their disks, links between them, servers that beat and leave, operators
// that call by the protocol, clients of tenants. Troubles come from a script, or from
// a seed that draws one, and the rules are judged all the while.
//
// A script has one command a line; script.go and its neighbours list them. The same script with the same
// seed is the same day, event for event.
package systemsim

import "time"

// The sites' bounds.
const (
	contact   = 3 * time.Second
	commit    = 4 * time.Second
	converge  = 2 * time.Second
	stretch   = 5 * time.Second
	drainTime = 2 * time.Second
	grace     = 6 * time.Second
	lastWord  = 150 * ms
	departs   = time.Second // before its grace ends a process says so, as daemon's do
	quotaSpan = 5 * time.Second
	recovery  = 15 * time.Second
	heartbeat = 1500 * time.Millisecond
	patience  = time.Second // of whoever calls a process
	reuseIn   = 2 * time.Second
)

const ms = time.Millisecond
