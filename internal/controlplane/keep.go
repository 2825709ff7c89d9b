package controlplane

import (
	"asterwell/internal/fsm"
	"asterwell/internal/registry"
)

// Keep is the list of servers as it is worth keeping on disk; nil while it can't be
// relied on.
func (k *Machine) ServersToStore() []registry.Row {
	if !k.lore.Filled() {
		return nil
	}
	return k.lore.Keep()
}

// Restore takes what was kept.
func (k *Machine) RestoreServers(now fsm.Time, rows []registry.Row) Output {
	k.learnt(k.lore.Restore(now, rows))
	return k.end()
}
