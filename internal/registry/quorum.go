package registry

import "slices"

// A leaving server whose call succeeds gets no new requests. A gateway that is cut off can't promise
// this, as those on the other side go on sending requests. So a majority of the voters has to
// confirm the update first. That proves contact with them since the call, and every process in
// contact with the voters learns of the update from them as well.

// Bug disables a safeguard, to show that the checkers notice its absence.
type Bug uint8

// The safeguards that can be disabled.
const (
	BugNoQuorumConfirmation Bug = iota + 1 // a leaving server's call succeeds without a majority of the voters
	BugNoIndirectDelivery                  // updates are never sent around a cut link
	BugUnstoredConfirmation                // a leaving server's call succeeds before it is on disk
	BugReadOne                             // a restored list is used after the answer of any process
)

// SetBug disables a safeguard.
func (m *Machine) SetBug(b Bug) { m.bug = b }

// SetVoters sets the voters of consensus. With an empty list no server's leaving is confirmed.
func (m *Machine) SetVoters(seats []string) { m.voters = append([]string{}, seats...) }

// confirmedByMajority reports whether a majority of the voters has confirmed that a server leaves: they know it, and
// have it on disk.
func (m *Machine) confirmedByMajority(id string, p *propagation) bool {
	if m.voters == nil && !m.isStored(id) {
		return false
	}
	return m.hasMajority(func(a string) bool { return a == m.self && m.isStored(id) || p.confirmed[a] })
}

// majorityReachable reports whether a majority of the voters is present, as far as the membership
// shows.
func (m *Machine) majorityReachable() bool {
	return m.hasMajority(func(a string) bool { return a == m.self || m.nodes[a] != nil })
}

// hasMajority reports whether the condition holds for a majority of the voters.
func (m *Machine) hasMajority(has func(addr string) bool) bool {
	if m.voters == nil || m.bug == BugNoQuorumConfirmation {
		return true
	}
	n := 0
	for _, a := range m.voters {
		if has(a) {
			n++
		}
	}
	return n > len(m.voters)/2
}

const maxIndirectPaths = 2 // other processes that are tried

// sendIndirectly sends an unconfirmed update through processes that have confirmed theirs, as only
// the link to its receiver may be cut. Voters come first, as every process in contact can reach
// them.
func (m *Machine) sendIndirectly(number uint64, u *unconfirmedUpdate, to string) {
	if m.bug == BugNoIndirectDelivery || len(u.ids) == 0 || m.propagations[u.ids[0]] == nil {
		return
	}
	var relays []string
	for _, a := range m.peers {
		if a != to && m.propagations[u.ids[0]].confirmed[a] {
			relays = append(relays, a)
		}
	}
	m.rand.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	slices.SortStableFunc(relays, func(a, b string) int { return m.voterRank(b) - m.voterRank(a) })
	for _, a := range relays[:min(maxIndirectPaths, len(relays))] {
		m.send(a, Update{Number: number, Rows: m.rows(u.ids), RelayTo: to})
	}
}

// voterRank is 1 for a voter and 0 otherwise.
func (m *Machine) voterRank(addr string) int {
	if slices.Contains(m.voters, addr) {
		return 1
	}
	return 0
}
