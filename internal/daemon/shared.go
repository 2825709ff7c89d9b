package daemon

import (
	"io"

	"asterwell/internal/controlplane"
	"asterwell/internal/protocol"
	"asterwell/internal/sysconfig"
)

// Link simulates the network for a frame to or from a peer: it calls deliver once, now or later, or never.
type Link func(peer string, out bool, deliver func())

// SharedOptions are for processes of the system that share one process of the operating system, such as
// the many that stand for a fleet in a measurement.
type SharedOptions struct {
	Log         io.Writer
	Link        Link // nil: plain network connections
	ControlOnly bool // the data plane gets nothing, so that only the control plane is measured

	ParseCache *controlplane.ParseCache // nil: each process parses for itself

	OnRequestTimes func(id string, t *protocol.StageTimes) // called with the stages of each request; nil: they aren't measured
}

// NewShared assembles a process like New, but leaves the limits of the Go runtime alone, since they apply
// to all processes that share it.
func NewShared(path string, settings *sysconfig.Settings, shared SharedOptions) (*Process, error) {
	return assemble(path, settings, shared)
}

// Serve runs the process until the operating system's process ends.
func (p *Process) Serve() error { return p.run() }

// Name returns the name of the node. Name and Version are safe for concurrent use.
func (p *Process) Name() string    { return p.settings.NodeName }
func (p *Process) Version() uint32 { return p.version.Load() }

// TakeQuota takes one unit of a tenant's quota, as a request does.
func (p *Process) TakeQuota(tenant string) bool {
	ok, _ := p.takeQuota(tenant, 1)
	return ok
}

// transmit delivers a frame, through the simulated network if there is one.
func (p *Process) transmit(peer string, out bool, deliver func()) {
	if p.link == nil {
		deliver()
		return
	}
	p.link(peer, out, deliver)
}
