package registry

import "asterwell/internal/fsm"

// Keep is the table as it is worth keeping on disk: for a start at which nobody
// remembers, since the servers' next beats fill it only over their whole pace.
func (m *Machine) Snapshot() (rows []Row) {
	for _, it := range m.all {
		if it.Phase != Ended {
			rows = append(rows, m.brief(it.Server))
		}
	}
	return rows
}

// Restore takes what was kept. It counts for nothing until a process has answered
// that it has no table either; then it is better than none: a server that has gone
// meanwhile fails, and one at its address says that it is another.
func (m *Machine) Restore(now fsm.Time, rows []Row) Out {
	m.begins(now)
	for _, r := range rows {
		if m.items[r.ID] == nil {
			m.put(r.server(now))
			m.items[r.ID].old = true
		}
	}
	m.restored = len(rows) > 0
	return m.take()
}

// recall makes what was kept count.
func (m *Machine) recall() {
	m.filled = true
	for _, it := range m.all {
		it.old = false
	}
}
