package registry

import "time"

// While news is under way tables differ, and the news itself will end that. In a large fleet something always is under
// way: were tables compared at each difference, the comparisons would carry each server many times over, and keep
// their readers from the news. So above a hundred machines a process begins a comparison the more seldom the more
// there are, and leaves one out while it hears news, though not for long: what was lost must be found too.
const (
	pacingMinPeers  = 100 // machines
	pacePerPeer     = 4 * time.Millisecond
	maxPaceMultiple = 8 // times the pace, with news all the time
)

// pace is the mean time between two comparisons that this process begins; 0: as they come.
func (m *Machine) comparisonInterval() time.Duration {
	return time.Duration(max(0, len(m.peers)-pacingMinPeers)) * pacePerPeer
}

// compares says whether a table that differs is looked into now.
func (m *Machine) mayCompare() bool {
	p := m.comparisonInterval()
	if p == 0 {
		return true
	}
	if m.now < m.noComparisonUntil || m.now-m.lastUpdate < p && m.now-m.lastComparison < maxPaceMultiple*p {
		return false
	}
	m.lastComparison, m.noComparisonUntil = m.now, m.now+p/2+time.Duration(m.rand.Int64N(int64(p)))
	return true
}
