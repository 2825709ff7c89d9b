package controlplane

import (
	"asterwell/internal/fsm"
	"asterwell/internal/registry"
)

// Keep is the list of servers as it is worth keeping on disk; nil while it can't be
// relied on.
func (k *Knot) Keep() []registry.Row {
	if !k.lore.Complete() {
		return nil
	}
	return k.lore.Snapshot()
}

// Restore takes what was kept.
func (k *Knot) Restore(now fsm.Time, rows []registry.Row) Out {
	k.learnt(k.lore.Restore(now, rows))
	return k.end()
}
