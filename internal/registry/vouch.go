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
func (m *Machine) SetVoters(seats []string) { m.core = append([]string{}, seats...) }

// vouched tells whether most of the core has confirmed the news.
func (m *Machine) vouched(sp *spread) bool {
	return m.most(func(a string) bool { return sp.has[a] })
}

// reaches tells whether most of the core is there to be told, as far as membership knows.
func (m *Machine) reaches() bool {
	return m.most(func(a string) bool { return m.nodes[a] != nil })
}

func (m *Machine) most(has func(addr string) bool) bool {
	if m.core == nil || m.bug == BugNoQuorumConfirmation {
		return true
	}
	n := 0
	for _, a := range m.core {
		if a == m.self || has(a) {
			n++
		}
	}
	return n > len(m.core)/2
}

const rounds = 2 // ways tried

// around sends news that is not confirmed through processes that have confirmed theirs: the
// link to its taker may be cut alone. Those of the core come first, all in touch reach them.
func (m *Machine) around(no uint64, p *post, to string) {
	if m.bug == BugNoIndirectDelivery || len(p.ids) == 0 || m.spreads[p.ids[0]] == nil {
		return
	}
	var by []string
	for _, a := range m.peers {
		if a != to && m.spreads[p.ids[0]].has[a] {
			by = append(by, a)
		}
	}
	m.rand.Shuffle(len(by), func(i, j int) { by[i], by[j] = by[j], by[i] })
	slices.SortStableFunc(by, func(a, b string) int { return m.seat(b) - m.seat(a) })
	for _, a := range by[:min(rounds, len(by))] {
		m.send(a, Update{Number: no, Rows: m.rows(p.ids), RelayTo: to})
	}
}

func (m *Machine) seat(addr string) int {
	if slices.Contains(m.core, addr) {
		return 1
	}
	return 0
}
