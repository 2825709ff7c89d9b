package registry

import "time"

// Tables differ while updates are under way, which in a large fleet is always. Comparing them at
// each difference would send each server many times over and delay the updates themselves. So with
// more than a hundred processes, each starts comparisons less often the more processes there are,
// and puts them off while updates arrive, though not for long: lost updates must be found too.
const (
	pacingMinPeers  = 100 // peers
	pacePerPeer     = 4 * time.Millisecond
	maxPaceMultiple = 8 // intervals without a comparison, while updates arrive
)

// comparisonInterval returns the mean time between two comparisons that this process starts; 0
// means no limit.
func (m *Machine) comparisonInterval() time.Duration {
	return time.Duration(max(0, len(m.peers)-pacingMinPeers)) * pacePerPeer
}

// mayCompare reports whether to compare a table that differs now.
func (m *Machine) mayCompare() bool {
	interval := m.comparisonInterval()
	if interval == 0 {
		return true
	}
	if m.now < m.noComparisonUntil || m.now-m.lastUpdate < interval && m.now-m.lastComparison < maxPaceMultiple*interval {
		return false
	}
	m.lastComparison, m.noComparisonUntil = m.now, m.now+interval/2+time.Duration(m.rand.Int64N(int64(interval)))
	return true
}
