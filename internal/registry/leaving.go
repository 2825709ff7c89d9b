package registry

import (
	"slices"

	"asterwell/internal/fsm"
)

// A call by which a server leaves is acknowledged once a majority of the voters has its leaving on disk, so that it
// outlives the end of all processes. What is on disk never delays or changes what a process does with its table; it only
// delays confirmations: a process with a disk confirms an update when the leaving servers in it are on the disk.
// After the end of all processes, one whose list of servers was stored uses it only after reading from a majority of the
// voters, which has a member in common with every majority that has confirmed.

// LeavingWrite is what a process stores of the servers that leave or have ended. It replaces the one before.
type LeavingWrite struct {
	Seq  uint64
	Rows []Row
}

// Stored is what a process finds on its disk when it starts.
type Stored struct {
	Servers []Row // the list of servers when it was last stored
	Leaving []Row // of the last LeavingWrite
	Intact  bool  // Leaving is whole: it was stored, and nothing of it was lost
}

// leavingLog tracks which leaving servers are on the disk.
type leavingLog struct {
	intact  bool            // the disk, or the table that others sent since, has all that was confirmed here
	stored  map[string]bool // IDs of servers whose leaving is on disk; Ended is no more than Quiescing
	writing map[string]bool // those that the write in progress covers; nil: there is none
	dirty   bool            // the table has changed since that write
	lastSeq uint64
}

// deferredAck is a confirmation that waits for the disk.
type deferredAck struct {
	ids   []string
	to    string
	relay bool // this process forwards the update, and answers for others, too
	ack   Ack
}

// Restore loads what is on this process's disk. What leaves counts at once. The list of servers is not used until a
// majority of the voters has answered that it has no table either; then an outdated list is better than none: requests to
// a server that has gone fail, and another server at its address identifies itself as another.
func (m *Machine) Restore(now fsm.Time, disk Stored) Out {
	m.startInput(now)
	m.disk = &leavingLog{intact: disk.Intact, stored: map[string]bool{}}
	for _, r := range disk.Leaving {
		if r.Phase >= Quiescing && m.items[r.ID] == nil {
			m.apply(r.server(now))
			m.disk.stored[r.ID] = true
		}
	}
	m.disk.dirty = false
	for _, r := range disk.Servers {
		if m.items[r.ID] == nil {
			m.apply(r.server(now))
			m.items[r.ID].outdated = true
		}
	}
	m.hasRestored = len(disk.Servers) > 0
	return m.takeOutput()
}

// becomeComplete marks the table as one that can be relied on. The disk vouches for it from the next write on.
func (m *Machine) becomeComplete() {
	m.complete = true
	if m.disk != nil && !m.disk.intact {
		m.disk.intact, m.disk.dirty = true, true
	}
}

// leavingChanged notes that a server has begun to leave, or has ended.
func (m *Machine) leavingChanged() {
	if m.disk != nil {
		m.disk.dirty = true
	}
}

// isStored reports whether the leaving of a server is on this process's disk, if it has one.
func (m *Machine) isStored(id string) bool {
	return m.disk == nil || m.disk.stored[id] || m.bug == BugUnstoredConfirmation
}

// startWrite returns the next write; nil: none is due, or one is in progress.
func (m *Machine) startWrite() *LeavingWrite {
	d := m.disk
	if d == nil || !d.dirty || d.writing != nil {
		return nil
	}
	d.lastSeq++
	d.dirty, d.writing = false, map[string]bool{}
	write := &LeavingWrite{Seq: d.lastSeq}
	for _, it := range m.sorted {
		if it.Phase >= Quiescing {
			d.writing[it.ID] = true
			write.Rows = append(write.Rows, m.wireRow(it.Server))
		}
	}
	return write
}

// LeavingStored reports that a LeavingWrite is on disk.
func (m *Machine) LeavingStored(now fsm.Time, seq uint64) Out {
	m.startInput(now)
	d := m.disk
	if d == nil || d.writing == nil || seq != d.lastSeq {
		return m.takeOutput()
	}
	d.stored, d.writing = d.writing, nil
	m.deferredAcks = slices.DeleteFunc(m.deferredAcks, func(a deferredAck) bool {
		if !m.allStored(a.ids) {
			return false
		}
		m.sendAck(a)
		return true
	})
	for _, id := range m.activeIDs() {
		m.answerIfConfirmed(id, m.propagations[id])
	}
	return m.takeOutput()
}

func (m *Machine) allStored(ids []string) bool {
	return !slices.ContainsFunc(ids, func(id string) bool { return m.items[id] != nil && !m.isStored(id) })
}

// confirmWhenStored confirms an update for this process, once the leaving servers in it are on its disk.
func (m *Machine) confirmWhenStored(rows []Row, a deferredAck) {
	for _, r := range rows {
		if r.Phase >= Quiescing {
			a.ids = append(a.ids, r.ID)
		}
	}
	switch {
	case m.allStored(a.ids):
		m.sendAck(a)
	case !slices.ContainsFunc(m.deferredAcks, func(o deferredAck) bool {
		return o.to == a.to && o.ack.Number == a.ack.Number && o.ack.Origin == a.ack.Origin
	}):
		m.deferredAcks = append(m.deferredAcks, a)
	}
}

func (m *Machine) sendAck(a deferredAck) {
	if a.relay {
		m.forwardAck(m.self, a.ack)
		return
	}
	m.send(a.to, a.ack)
}

// hasReadMajority reports whether a majority of the voters has told what it has on disk, so that none of the restored
// servers has left without its being known here.
func (m *Machine) hasReadMajority() bool {
	return m.bug == BugReadOne || m.hasMajority(m.hasRead)
}

func (m *Machine) hasRead(voter string) bool {
	if voter == m.self {
		return m.disk != nil && m.disk.intact
	}
	return m.vouched[voter]
}

// unreadVoters returns the voters that are present and haven't told yet what they have on disk.
func (m *Machine) unreadVoters() (unread []string) {
	for _, a := range m.voters {
		if a != m.self && m.nodes[a] != nil && !m.vouched[a] {
			unread = append(unread, a)
		}
	}
	return unread
}
