package systemsim

import (
	"slices"
	"time"

	"asterwell/internal/controlplane"
	"asterwell/internal/registry"
)

// listInterval is how often a process stores its list of servers, if it has changed.
const listInterval = time.Second

// serverDisk is what a machine keeps of servers, beside agreement's state.
type serverDisk struct {
	stored, copied registry.Stored // on the disk, and the copy that was taken of it
	busyUntil      time.Duration   // writes come in their order
	listChanged    bool
	nextList       time.Duration
}

// openServers gives the process what is on the disk.
func (p *proc) openServers() {
	if p.disk == nil {
		return
	}
	p.servers.listChanged, p.servers.nextList = false, p.w.now+listInterval
	p.carry(p.k.RestoreServers(p.clock(), p.servers.stored))
}

// syncServers calls done once the disk has synced, unless the process has ended by then.
func (p *proc) syncServers(done func()) {
	w, life := p.w, p.life
	p.servers.busyUntil = max(p.servers.busyUntil, w.now, p.disk.stalled) + p.disk.pace
	w.after(p.servers.busyUntil-w.now, func() {
		if p.up && p.life == life {
			done()
		}
	})
}

func (p *proc) keepLeaving(write *registry.LeavingWrite) {
	rows := slices.Clone(write.Rows)
	p.syncServers(func() {
		p.servers.stored.Leaving, p.servers.stored.Intact = rows, true
		p.input(func() controlplane.Output { return p.k.LeavingStored(p.clock(), write.Seq) })
	})
}

// storeList stores the list of servers if it has changed.
func (p *proc) storeList() {
	if p.disk == nil || p.frozen() || !p.servers.listChanged || p.w.now < p.servers.nextList {
		return
	}
	rows := p.k.ServersToStore()
	if rows == nil {
		return
	}
	p.servers.listChanged, p.servers.nextList = false, p.w.now+listInterval
	p.syncServers(func() { p.servers.stored.Servers = rows })
}
