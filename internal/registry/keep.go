package registry

import "asterwell/internal/fsm"

// Keep is the table as it is worth keeping on disk: for a start at which nobody
// remembers, since the servers' next beats fill it only over their whole pace.
func (m *Machine) Snapshot() (rows []Row) {
	for _, it := range m.sorted {
		if it.Phase != Ended {
			rows = append(rows, m.wireRow(it.Server))
		}
	}
	return rows
}

// Restore takes what was kept. It counts for nothing until a process has answered
// that it has no table either; then it is better than none: a server that has gone
// meanwhile fails, and one at its address says that it is another.
func (m *Machine) Restore(now fsm.Time, rows []Row) Out {
	m.startInput(now)
	for _, r := range rows {
		if m.items[r.ID] == nil {
			m.apply(r.server(now))
			m.items[r.ID].outdated = true
		}
	}
	m.hasRestored = len(rows) > 0
	return m.takeOutput()
}

// recall makes what was kept count.
func (m *Machine) acceptRestored() {
	m.complete = true
	for _, it := range m.sorted {
		it.outdated = false
	}
}
