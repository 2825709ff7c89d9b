// Package serverset decides which servers the decision module may use when several sources name
// them: DNS SRV records (RFC 2782), the list from service discovery, and the list saved before a
// restart. It has no I/O and reads no clock; every method takes the time, on the core's clock.
//
// # Merge rule
//
// A source that has named a server may withdraw it. A server is used only while no source that
// named it has withdrawn it. A source that is unreachable withdraws nothing.
//
//	source  reports                   effect
//	list    up                        used, with the list's id, zone, weight and start time
//	list    draining                  drains at once, whatever SRV reports or repeats
//	list    removed, or missing from  removed at once; its address, and each target with it,
//	        a full list               is not used while SRV still has it, until the list
//	                                  names it again, or SRV has been without it for
//	                                  RemovedHold
//	list    unreachable               its last reports stay in effect
//	saved   up, draining              as the list, until the list is received
//	srv     a target, first answer    used, as started long ago
//	srv     a target, later answer    used, as started now (cold)
//	srv     a target that has moved:  a new server, started now; the one at the old
//	        no address in common      addresses drains
//	srv     no longer a target        drains, and so does the list's server at its address
//	                                  (unless ListOverridesSRV)
//	srv     authoritatively no        servers that only SRV names drain; those of the list
//	        service (NXDOMAIN, ".")   stay, as a missing name says nothing about one server
//	srv     stale                     its last reports stay in effect
//	srv     lost: stale for too long  servers that only SRV names drain if the list is
//	                                  reachable; without a list they stay
//	srv     a target that the list    with SRVOnlyWhileListSilent used only while the list is
//	        does not name             unreachable: it may have been removed before the start
//	both    silent for TrustFor       all stay, and Trusted returns false
//
// A target with an address that the list names is the list's server there. Its other addresses are
// not used, since requests to them would bypass a drain. Targets that share an address are one
// server, represented by the first of them by name.
//
// Priorities (RFC 2782): each priority is a tier. The servers of the lowest priority are offered.
// While fewer than TierJoinBelow of them are alive, the next tier joins; it leaves again once
// TierLeaveAbove of them have been alive for TierLeaveHold.
package serverset

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"asterwell/choice"
)

// Options configures the merge rule and the tiers.
type Options struct {
	RemovedHold            time.Duration // see the merge rule
	DrainFor               time.Duration // a draining server is forgotten after this time
	TrustFor               time.Duration // both sources silent for so long: Trusted returns false
	ListOverridesSRV       bool          // SRV can't withdraw servers that the list names
	SRVOnlyWhileListSilent bool          // servers that only SRV names are used only while the list is unreachable
	NoList                 bool          // there is no list
	TierJoinBelow          float64       // share of the first tier alive, below which the next one joins
	TierLeaveAbove         float64       // share from which it leaves again, at least TierJoinBelow
	TierLeaveHold          time.Duration
	DeadAfterFailures      int    // consecutive failures without an answer
	ListPriority           uint16 // of servers that only the list names
}

// ListEntry is a server in the list. Member.ID is not used.
type ListEntry struct {
	Name string // the list's id
	Addr string
	choice.Member
}

// Target is an SRV record with the addresses of its target, in order of preference.
type Target struct {
	Name     string // in lower case, with the final dot
	Port     uint16
	Priority uint16
	Weight   float64 // on the scale of the list's weights, where 1 is normal
	Zone     string
	Addrs    []string // host:port; empty: not yet resolved
}

// Change is a changed server for the core.
type Change struct {
	Addr string
	Name string // the list's id, or one derived from the target's name
	choice.Member
}

// Stats has totals since the start, and current counts.
type Stats struct {
	Nodes, Offered, Dead, Tombstones int
	Tiers, OfferedTiers              int
	Joins, Leaves                    int // of tiers
	Moved                            int // servers whose used address changed
	Blocked                          int // targets that the list had removed
	Duplicates                       int // targets that share an address with another target
}

// Set merges the sources. It is not safe for concurrent use.
type Set struct {
	options Options
	hash    func(string) uint64

	lastNumber    uint32 // last number assigned to a server
	listed        map[string]*server
	byNumber      map[uint32]*server
	listedByAddr  map[string]*server // of the list
	targets       map[targetKey]*target
	targetsByAddr map[string][]*target
	srvIDs        map[string]targetKey // targets by the ID of servers that only SRV names
	tombstones    map[string]time.Duration
	draining      map[*server]bool // draining or withheld, and known to the core

	sources          map[string]*source
	listSaved        bool // only the saved list is known
	unreachableSince time.Duration
	listHeard        bool // the list has been received

	tiers               map[uint16]*tier
	lastOfferedPriority uint16 // tiers up to this priority are offered,
	tiersOffered        bool   // if there are any
	tierLeaveAt         time.Duration

	dirtyTargets map[*target]bool
	dirtyServers map[*server]bool
	nextWake     time.Duration
	stats        Stats
}

type targetKey struct {
	name string
	port uint16
}

type source struct {
	answered   bool
	lost       bool
	staleSince time.Duration // never: the answer is fresh
	targets    map[targetKey]Target
}

// target is one name and port, merged from all SRV sources.
type target struct {
	key             targetKey
	bySource        map[string]Target
	merged          Target // merged from all sources
	servers         []*server
	fromFirstAnswer bool // from the first answer of a source
}

// server is a server named by the list, SRV or both.
type server struct {
	name          string
	number        uint32
	addr          string
	listEntry     *ListEntry
	targets       map[*target]bool
	namedBySRV    bool // SRV has named it, and so may withdraw it
	srvOnly       bool // only SRV names it
	nameTaken     bool // another server has its name
	gone          bool // the list has removed it, or no source names it any more
	removedByList bool // removed without draining
	startedAt     time.Duration
	target        Target // of a server that only SRV names, as last received

	failures, refusals int
	dead               bool

	coreState  choice.State // as known to the core; Down: not known
	coreChange Change
	forgetAt   time.Duration
	tier       *tier
	live       bool // counted as alive in the tier
}

// tier is the servers of one priority.
type tier struct {
	priority   uint16
	size, live int
	servers    map[*server]bool
}

const never = time.Duration(math.MaxInt64)

// New returns a set without servers.
func New(opt Options) *Set {
	return &Set{options: opt, hash: xxhash.Sum64String, listed: map[string]*server{}, byNumber: map[uint32]*server{},
		listedByAddr: map[string]*server{}, targets: map[targetKey]*target{}, targetsByAddr: map[string][]*target{},
		srvIDs: map[string]targetKey{}, tombstones: map[string]time.Duration{}, draining: map[*server]bool{},
		sources: map[string]*source{}, tiers: map[uint16]*tier{}, dirtyTargets: map[*target]bool{},
		dirtyServers: map[*server]bool{}, nextWake: never, unreachableSince: never}
}

// Configure changes the options. Previous decisions stay until a source reports something new.
func (m *Set) Configure(now time.Duration, opt Options) {
	m.options = opt
	for _, s := range m.byNumber {
		m.dirtyServers[s] = true
	}
	m.applyDirty(now)
}

// ApplyList applies an update of the list. With whole, entries that are missing were removed.
func (m *Set) ApplyList(now time.Duration, entries []ListEntry, whole, saved bool) {
	if saved && m.listHeard {
		return
	}
	before := m.listIsHeard()
	defer func() { m.refreshSRVOnly(now, before) }()
	m.listHeard, m.listSaved = m.listHeard || !saved, saved
	if !saved {
		m.unreachableSince = never
	}
	isNamed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		if entry.State != choice.Down {
			isNamed[entry.Name] = true
		}
	}
	if whole {
		for _, name := range slices.Sorted(maps.Keys(m.listed)) {
			if !isNamed[name] {
				m.removeListed(now, m.listed[name])
			}
		}
	}
	for _, entry := range entries {
		s := m.listed[entry.Name]
		switch {
		case entry.State == choice.Down:
			if s != nil && !isNamed[entry.Name] {
				m.removeListed(now, s)
			}
			continue
		case s == nil:
			s = &server{name: entry.Name, targets: map[*target]bool{}, coreState: choice.Down}
			m.adoptNumber(s, entry.Addr)
			m.listed[entry.Name] = s
		case s.addr != entry.Addr:
			m.releaseAddress(now, s)
		}
		if s.listEntry == nil || s.addr != entry.Addr || s.listEntry.Started != entry.Started { // another instance
			s.namedBySRV, s.dead, s.failures, s.refusals = len(s.targets) > 0, false, 0, 0
		}
		s.listEntry, s.addr = &entry, entry.Addr
		if previous := m.listedByAddr[entry.Addr]; previous != nil && previous != s { // the newer entry gets the address
			m.dirtyServers[previous] = true
		}
		m.listedByAddr[entry.Addr] = s
		delete(m.tombstones, entry.Addr)
		m.markTargetsDirty(entry.Addr)
		m.dirtyServers[s] = true
	}
	m.applyDirty(now)
}

// ListUnreachable records that the list can't be reached.
func (m *Set) ListUnreachable(now time.Duration) {
	before := m.listIsHeard()
	m.unreachableSince = min(m.unreachableSince, now)
	m.refreshSRVOnly(now, before)
}

// listIsHeard reports whether the list has been received and is reachable.
func (m *Set) listIsHeard() bool {
	return m.listHeard && m.unreachableSince == never && !m.options.NoList
}

// refreshSRVOnly decides again on servers that only SRV names, if they depend on the reachability
// of the list and that has changed.
func (m *Set) refreshSRVOnly(now time.Duration, before bool) {
	if !m.options.SRVOnlyWhileListSilent || m.listIsHeard() == before {
		return
	}
	for _, s := range m.byNumber {
		if s.srvOnly {
			m.dirtyServers[s] = true
		}
	}
	m.applyDirty(now)
}

// ListReachable records that the list was reached, even without changes.
func (m *Set) ListReachable(now time.Duration) {
	before := m.listIsHeard()
	m.unreachableSince = never
	m.refreshSRVOnly(now, before)
	m.dropLostSources(now)
}

// SourceLost records that a name's answer has been stale for too long.
func (m *Set) SourceLost(now time.Duration, name string) {
	m.SourceStale(now, name)
	m.sources[name].lost = true
	m.dropLostSources(now)
}

// dropLostSources drops the targets of lost names if the list is reachable.
func (m *Set) dropLostSources(now time.Duration) {
	if m.options.NoList || !m.listHeard || m.unreachableSince != never {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(m.sources)) {
		if src := m.sources[name]; src.lost && len(src.targets) > 0 {
			m.replaceTargets(now, name, src, nil, false, true)
		}
	}
}

// adoptNumber gives a new server of the list the number of the SRV-only server at its address: it
// is the same server.
func (m *Set) adoptNumber(s *server, addr string) {
	for _, t := range m.linkedTargets(addr) {
		for _, o := range t.servers {
			if !o.srvOnly || s.number != 0 {
				continue
			}
			s.number, s.coreState, s.coreChange, s.startedAt = o.number, o.coreState, o.coreChange, o.startedAt
			s.failures, s.dead, s.refusals = o.failures, o.dead, o.refusals
			m.leaveTier(o)
			m.byNumber[s.number] = s
			delete(m.srvIDs, o.name)
			delete(m.draining, o)
			delete(m.dirtyServers, o)
			t.servers = slices.DeleteFunc(t.servers, func(x *server) bool { return x == o })
		}
	}
	if s.number == 0 {
		m.assignNumber(s)
	}
}

// assignNumber gives a server the next number.
func (m *Set) assignNumber(s *server) {
	m.lastNumber++
	s.number = m.lastNumber
	m.byNumber[s.number] = s
}

// releaseAddress releases the address that a server of the list had.
func (m *Set) releaseAddress(now time.Duration, s *server) {
	if m.listedByAddr[s.addr] == s {
		delete(m.listedByAddr, s.addr)
		for _, o := range m.listed { // an older entry may have the address as well
			if o != s && o.addr == s.addr && (m.listedByAddr[s.addr] == nil || o.name < m.listedByAddr[s.addr].name) {
				m.listedByAddr[s.addr] = o
			}
		}
		if o := m.listedByAddr[s.addr]; o != nil {
			m.dirtyServers[o] = true
		} else {
			m.setTombstone(now, s.addr)
		}
	}
	m.markTargetsDirty(s.addr)
}

// removeListed removes a server of the list.
func (m *Set) removeListed(now time.Duration, s *server) {
	delete(m.listed, s.name)
	s.gone, s.removedByList = true, true
	m.releaseAddress(now, s)
	m.dirtyServers[s] = true
}

// setTombstone prevents SRV from bringing back what the list has removed.
func (m *Set) setTombstone(now time.Duration, addr string) {
	m.tombstones[addr] = never
	if len(m.targetsByAddr[addr]) == 0 {
		m.tombstones[addr] = now + m.options.RemovedHold
		m.nextWake = min(m.nextWake, m.tombstones[addr])
	}
}

// linkedTargets returns the targets that are linked by shared addresses, starting from the given
// ones: whatever their names, they lead to one server.
func (m *Set) linkedTargets(addrs ...string) (found []*target) {
	if len(addrs) == 1 && len(m.targetsByAddr[addrs[0]]) == 1 && len(m.targetsByAddr[addrs[0]][0].merged.Addrs) == 1 {
		return m.targetsByAddr[addrs[0]] // the common case
	}
	seen := map[*target]bool{}
	visited := map[string]bool{}
	for queue := slices.Clone(addrs); len(queue) > 0; queue = queue[1:] {
		if visited[queue[0]] {
			continue
		}
		visited[queue[0]] = true
		for _, t := range m.targetsByAddr[queue[0]] {
			if !seen[t] {
				seen[t] = true
				found = append(found, t)
				queue = append(queue, t.merged.Addrs...)
			}
		}
	}
	return found
}

// markTargetsDirty marks all targets that lead to an address to be placed again.
func (m *Set) markTargetsDirty(addr string) {
	for _, t := range m.linkedTargets(addr) {
		m.dirtyTargets[t] = true
	}
}

// RecordOutcome records whether a server has answered an attempt or a probe. refused: no connection
// was established. It reports whether the server is now dead, so that the sources should be queried
// again.
func (m *Set) RecordOutcome(now time.Duration, number uint32, ok, refused bool) (died bool) {
	s := m.byNumber[number]
	if s == nil || s.gone {
		return false
	}
	if ok {
		if s.failures, s.refusals = 0, 0; s.dead {
			s.dead = false
			m.dirtyServers[s] = true
			m.applyDirty(now)
		}
		return false
	}
	s.failures++
	if s.refusals++; !refused {
		s.refusals = 0
	}
	if s.refusals >= 2 && s.srvOnly && len(s.target.Addrs) > 1 {
		i := slices.Index(s.target.Addrs, s.addr)
		s.addr, s.refusals = s.target.Addrs[(i+1)%len(s.target.Addrs)], 0
		m.stats.Moved++
		m.dirtyServers[s] = true
	}
	if s.failures >= m.options.DeadAfterFailures && !s.dead {
		s.dead, died = true, true
		m.dirtyServers[s] = true
	}
	if len(m.dirtyServers) > 0 {
		m.applyDirty(now)
	}
	return died
}

// Tick does what is due. NextTick returns when that will be.
func (m *Set) Tick(now time.Duration) {
	if now < m.nextWake {
		return
	}
	m.nextWake = never
	for _, a := range slices.Sorted(maps.Keys(m.tombstones)) {
		if at := m.tombstones[a]; at <= now {
			delete(m.tombstones, a)
			m.markTargetsDirty(a)
		} else {
			m.nextWake = min(m.nextWake, at)
		}
	}
	for n := range m.draining {
		if m.nextWake = min(m.nextWake, n.forgetAt); n.forgetAt <= now {
			m.dirtyServers[n] = true
		}
	}
	if m.tierLeaveAt > 0 {
		m.nextWake = min(m.nextWake, m.tierLeaveAt)
	}
	m.applyDirty(now)
}

// NextTick returns when Tick has something to do; false: nothing is scheduled.
func (m *Set) NextTick() (time.Duration, bool) { return m.nextWake, m.nextWake != never }

// TakeChanges returns the changes for the core since the last call, ordered by number.
func (m *Set) TakeChanges(now time.Duration) []Change {
	if len(m.dirtyServers) == 0 {
		return nil
	}
	var out []Change
	for _, s := range slices.SortedFunc(maps.Keys(m.dirtyServers), func(a, b *server) int { return cmp.Compare(a.number, b.number) }) {
		if c, ok := m.decideState(now, s); ok {
			out = append(out, c)
		}
	}
	clear(m.dirtyServers)
	return out
}

// decideState determines a server's state, and reports whether the core has to be told.
func (m *Set) decideState(now time.Duration, s *server) (Change, bool) {
	want := choice.Down
	switch {
	case m.isUsable(s) && s.tier != nil && s.tier.priority <= m.lastOfferedPriority:
		want = choice.Up
	case s.coreState == choice.Down || s.removedByList:
	case s.coreState == choice.Draining && now >= s.forgetAt && s.forgetAt > 0:
	default:
		want = choice.Draining
	}
	previous := s.coreState
	s.coreState = want
	switch want {
	case choice.Up:
		delete(m.draining, s)
	case choice.Draining:
		if previous != choice.Draining {
			s.forgetAt = now + m.options.DrainFor
			m.draining[s] = true
			m.nextWake = min(m.nextWake, s.forgetAt)
		}
	case choice.Down:
		delete(m.draining, s)
		if s.gone {
			m.leaveTier(s)
			delete(m.byNumber, s.number)
		}
		if previous == choice.Down {
			return Change{}, false
		}
	}
	c := m.newChange(s)
	if c.State = want; c == s.coreChange {
		return c, false
	}
	s.coreChange = c
	return c, true
}

// newChange returns a server as told to the core.
func (m *Set) newChange(s *server) Change {
	c := Change{Addr: s.addr, Name: s.name}
	if s.listEntry != nil {
		c.Member = s.listEntry.Member
		c.Started = max(c.Started, s.startedAt)
	} else {
		c.Weight, c.Zone, c.Started = s.target.Weight, s.target.Zone, s.startedAt
	}
	c.ID = s.number
	return c
}

// OnlySavedList reports whether no source has been heard since the start.
func (m *Set) OnlySavedList() bool {
	for _, s := range m.sources {
		if s.answered {
			return false
		}
	}
	return !m.listHeard
}

// Trusted reports whether a source has been heard within TrustFor.
func (m *Set) Trusted(now time.Duration) bool {
	silent := m.unreachableSince
	if m.options.NoList {
		silent = 0
	}
	for _, s := range m.sources {
		silent = max(silent, s.staleSince)
	}
	return silent == never || now < silent+m.options.TrustFor
}

// Stats returns the totals.
func (m *Set) Stats() Stats {
	s := m.stats
	s.Nodes, s.Tombstones, s.Tiers = len(m.byNumber), len(m.tombstones), len(m.tiers)
	for _, n := range m.byNumber {
		if n.coreState == choice.Up {
			s.Offered++
		}
		if n.dead {
			s.Dead++
		}
	}
	for p := range m.tiers {
		if m.tiersOffered && p <= m.lastOfferedPriority {
			s.OfferedTiers++
		}
	}
	return s
}
