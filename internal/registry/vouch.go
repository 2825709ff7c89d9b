package registry

import "slices"

// What a leaving server is told is a promise: nothing new comes to it. A gateway that is cut
// off can't give it, whatever it knows: those on the other side go on sending. So the news
// has to be confirmed by most of the core first, which is proof of contact as young as the
// call, and whoever is in touch with the core then hears of it from there as well.

// Bug switches a guard off, to show that the judges miss it.
type Bug uint8

// The bugs.
const (
	BugNoQuorumConfirmation Bug = iota + 1 // a leaving server is told yes whoever has heard of it
	BugNoIndirectDelivery                  // news never goes round a cut
)

// SetBug switches a guard off.
func (m *Machine) SetBug(b Bug) { m.bug = b }

// Core takes the seats of agreement. Without any no server is let go.
func (m *Machine) SetVoters(seats []string) { m.voters = append([]string{}, seats...) }

// vouched tells whether most of the core has confirmed the news.
func (m *Machine) confirmedByMajority(sp *propagation) bool {
	return m.hasMajority(func(a string) bool { return sp.confirmed[a] })
}

// reaches tells whether most of the core is there to be told, as far as membership knows.
func (m *Machine) majorityReachable() bool {
	return m.hasMajority(func(a string) bool { return m.nodes[a] != nil })
}

func (m *Machine) hasMajority(has func(addr string) bool) bool {
	if m.voters == nil || m.bug == BugNoQuorumConfirmation {
		return true
	}
	n := 0
	for _, a := range m.voters {
		if a == m.self || has(a) {
			n++
		}
	}
	return n > len(m.voters)/2
}

const maxIndirectPaths = 2 // ways tried

// around sends news that is not confirmed through processes that have confirmed theirs: the
// link to its taker may be cut alone. Those of the core come first, all in touch reach them.
func (m *Machine) sendIndirectly(no uint64, p *unconfirmedUpdate, to string) {
	if m.bug == BugNoIndirectDelivery || len(p.ids) == 0 || m.propagations[p.ids[0]] == nil {
		return
	}
	var by []string
	for _, a := range m.peers {
		if a != to && m.propagations[p.ids[0]].confirmed[a] {
			by = append(by, a)
		}
	}
	m.rand.Shuffle(len(by), func(i, j int) { by[i], by[j] = by[j], by[i] })
	slices.SortStableFunc(by, func(a, b string) int { return m.voterRank(b) - m.voterRank(a) })
	for _, a := range by[:min(maxIndirectPaths, len(by))] {
		m.send(a, Update{Number: no, Rows: m.rows(p.ids), RelayTo: to})
	}
}

func (m *Machine) voterRank(addr string) int {
	if slices.Contains(m.voters, addr) {
		return 1
	}
	return 0
}
