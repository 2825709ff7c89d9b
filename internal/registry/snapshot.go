package registry

import "asterwell/internal/fsm"

// Snapshot returns the rows to keep on disk. They serve a start at which no process has a table:
// without them the table would fill only over a whole heartbeat interval.
func (m *Machine) Snapshot() (rows []Row) {
	for _, it := range m.sorted {
		if it.Phase != Ended {
			rows = append(rows, m.wireRow(it.Server))
		}
	}
	return rows
}

// Restore loads a snapshot. It is not used until another process has answered that it has no table
// either; then an outdated table is better than none: requests to a server that has gone fail, and
// another server at its address identifies itself as another.
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

// acceptRestored makes the restored rows count.
func (m *Machine) acceptRestored() {
	m.complete = true
	for _, it := range m.sorted {
		it.outdated = false
	}
}
