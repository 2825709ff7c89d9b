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

// RestoreServers takes the list of servers that was stored on disk.
func (m *Machine) RestoreServers(now fsm.Time, rows []registry.Row) Output {
	m.applyRegistry(m.registry.Restore(now, rows))
	return m.takeOutput()
}
