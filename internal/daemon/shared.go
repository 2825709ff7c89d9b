package daemon

import (
	"io"

	"asterwell/internal/controlplane"
	"asterwell/internal/protocol"
	"asterwell/internal/sysconfig"
)

// Link carries a frame to or from a peer: it calls deliver once, later, or never.
type Link func(peer string, out bool, deliver func())

// Shared is what a process of the system is told that shares one of the operating
// system's with others: many of them stand for a fleet in a measurement.
type SharedOptions struct {
	Log         io.Writer
	Link        Link // nil: as the network is
	ControlOnly bool // the data plane is told nothing, so that what is left is control

	ParseCache *controlplane.ParseCache // of texts; nil: each process reads its own

	OnRequestTimes func(id string, t *protocol.StageTimes) // hears of each request's stages; nil: nobody measures
}

// NewShared puts a process together like New, and leaves the runtime's bounds alone:
// they are for all that share it.
func NewShared(path string, set *sysconfig.Settings, shared SharedOptions) (*Process, error) {
	return assemble(path, set, shared)
}

// Serve serves until the operating system's process ends.
func (p *Process) Serve() error { return p.loop() }

// Name and Version may be asked at any time.
func (p *Process) Name() string    { return p.set.NodeName }
func (p *Process) Version() uint32 { return p.version.Load() }

// Spend takes a unit of a tenant's quota as a request would.
func (p *Process) TakeQuota(tenant string) bool {
	ok, _ := p.pass(tenant, 1)
	return ok
}

func (p *Process) over(peer string, out bool, deliver func()) {
	if p.link == nil {
		deliver()
		return
	}
	p.link(peer, out, deliver)
}
