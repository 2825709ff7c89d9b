package registry

// Snapshot returns the list of servers to keep on disk. It serves a start at which no process has a table:
// without it the table would fill only over a whole heartbeat interval.
func (m *Machine) Snapshot() (rows []Row) {
	for _, it := range m.sorted {
		if it.Phase != Ended {
			rows = append(rows, m.wireRow(it.Server))
		}
	}
	return rows
}

// acceptRestored makes the restored rows count.
func (m *Machine) acceptRestored() {
	m.becomeComplete()
	for _, it := range m.sorted {
		it.outdated = false
	}
}
