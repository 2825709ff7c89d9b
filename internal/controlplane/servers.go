package controlplane

import (
	"asterwell/internal/fsm"
	"asterwell/internal/registry"
)

// ServersToStore returns the list of servers to store on disk; nil while it is incomplete.
func (m *Machine) ServersToStore() []registry.Row {
	if !m.registry.Complete() {
		return nil
	}
	return m.registry.Snapshot()
}

// RestoreServers takes what was stored on disk of servers. A process without a disk doesn't call it.
func (m *Machine) RestoreServers(now fsm.Time, disk registry.Stored) Output {
	m.applyRegistry(m.registry.Restore(now, disk))
	return m.takeOutput()
}

// LeavingStored reports that a LeavingWrite, and all before it, are synced to disk.
func (m *Machine) LeavingStored(now fsm.Time, seq uint64) Output {
	m.applyRegistry(m.registry.LeavingStored(now, seq))
	return m.takeOutput()
}
