// Package serverset decides which servers the decision module may use when
// several sources name them: DNS SRV records (RFC 2782), discovery's list, and the
// list saved from before the start. It has no I/O and reads no clock; every method
// takes the time, on the core's clock.
//
// # The rule
//
// Whoever has named a server may take it back; a server is used only while nobody
// who has named it has taken it back. Silence takes nothing back.
//
//	source  says                      effect
//	list    up                        used, with the list's id, zone, weight and start
//	list    draining                  drains at once, whatever SRV says or repeats
//	list    removed, or left out of   gone at once; its address, and every target that has
//	        a whole list              it, stays out while SRV goes on naming it, until the
//	                                  list names it again, or SRV has been without it for
//	                                  RemovedHold
//	list    silent                    all it has said stands
//	saved   up, draining              as the list, until the list speaks for the first time
//	srv     a target, first answer    used, as started long ago
//	srv     a target, later answer    used, as started now (cold)
//	srv     a target elsewhere: none  another server, started now; the one at the old
//	        of its addresses left     addresses drains
//	srv     no longer a target        drains, and so does the server that the list names
//	                                  there (unless KeepListed)
//	srv     decidedly no service      servers that only SRV names drain; the list's stay: a
//	        (NXDOMAIN, target ".")    name that is gone says nothing of one server
//	srv     stale                     all it has said stands
//	srv     lost: stale for too long  servers that only SRV names drain if the list is heard;
//	                                  without one all stands
//	srv     a target that the list    with OnlySilent it is used only while the list is silent:
//	        does not name             what the list has removed before this start stays out
//	both    silent for Keep           all stands, and Trusted says no
//
// A target that has an address which the list names is the list's server there.
// Its other addresses are not used: they would lead round a drain. Targets that
// share an address are one server, and the first of them by name stands for it.
//
// Priorities (RFC 2782): servers of the lowest priority are offered; where fewer than
// JoinBelow of them live, the next tier joins, and it leaves again once LeaveAbove of
// them have lived for LeaveHold.
package serverset

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"asterwell/choice"
)

// Options are the figures of the rule.
type Options struct {
	RemovedHold            time.Duration // see the rule
	DrainFor               time.Duration // what drains is forgotten after that
	TrustFor               time.Duration // both sources silent for so long: no longer Trusted
	ListOverridesSRV       bool          // SRV can't take back what the list names
	SRVOnlyWhileListSilent bool          // what only SRV names is used only while the list is silent
	NoList                 bool          // there is no list; its silence counts for nothing
	TierJoinBelow          float64       // share of the first tier
	TierLeaveAbove         float64       // share of the first tier, at least JoinBelow
	TierLeaveHold          time.Duration
	DeadAfterFailures      int    // failures in a row without an answer
	ListPriority           uint16 // of servers that only the list names
}

// Listed is a server as the list has it. Member.ID is not used.
type ListEntry struct {
	Name string // the list's id
	Addr string
	choice.Member
}

// Target is one SRV record with the addresses of its target, in order of preference.
type Target struct {
	Name     string // in lower case, with the last dot
	Port     uint16
	Priority uint16
	Weight   float64 // on the scale of the list's: 1 is usual
	Zone     string
	Addrs    []string // host:port; none: not known yet
}

// Member is a change for the core.
type Change struct {
	Addr string
	Name string // the list's id, or one made of the target's name
	choice.Member
}

// Stats are totals since the start, and what is now.
type Stats struct {
	Nodes, Offered, Dead, Tombstones int
	Tiers, OfferedTiers              int
	Joins, Leaves                    int // of tiers
	Moved                            int // servers that changed the address used
	Blocked                          int // targets that the list has removed
	Duplicates                       int // targets with an address of another target
}

// Membership is the merged state. It is not safe for concurrent use.
type Set struct {
	opt  Options
	hash func(string) uint64

	last    uint32 // number given to a server
	listed  map[string]*node
	byNum   map[uint32]*node
	byAddr  map[string]*node // the list's
	targets map[targetKey]*target
	at      map[string][]*target // targets by address
	ids     map[string]targetKey // of servers that only SRV names
	tombs   map[string]time.Duration
	leaving map[*node]bool // drained or withheld, and known to the core

	sources map[string]*source
	saved   bool // the list is only the saved one
	broken  time.Duration
	heard   bool // the list has spoken

	tiers   map[uint16]*tier
	upTo    uint16 // tiers up to this priority are offered
	any     bool   // upTo means something
	leaveAt time.Duration

	dirtyT map[*target]bool
	dirtyN map[*node]bool
	wake   time.Duration
	stats  Stats
}

type targetKey struct {
	name string
	port uint16
}

type source struct {
	answered bool
	lost     bool
	stale    time.Duration // since then; never: fresh
	has      map[targetKey]Target
}

// target is one name and port, as all SRV sources together have it.
type target struct {
	key   targetKey
	said  map[string]Target
	now   Target // merged
	nodes []*node
	first bool // comes from a first answer
}

type node struct {
	name    string
	num     uint32
	addr    string
	list    *ListEntry
	srv     map[*target]bool
	named   bool // SRV has named it, so that it may take it back
	own     bool // only SRV names it
	moved   bool // another one has its name
	gone    bool // the list has removed it, or nobody is left who names it
	removed bool // by the list: no draining
	started time.Duration
	meta    Target // of an own one, as last named

	fails, refused int
	dead           bool

	out      choice.State // as the core has it; Down: not at all
	told     Change
	forgetAt time.Duration
	tier     *tier
	live     bool // as counted in the tier
}

type tier struct {
	priority   uint16
	size, live int
	nodes      map[*node]bool
}

const never = time.Duration(math.MaxInt64)

// New returns a membership without servers.
func New(opt Options) *Set {
	return &Set{opt: opt, hash: xxhash.Sum64String, listed: map[string]*node{}, byNum: map[uint32]*node{},
		byAddr: map[string]*node{}, targets: map[targetKey]*target{}, at: map[string][]*target{},
		ids: map[string]targetKey{}, tombs: map[string]time.Duration{}, leaving: map[*node]bool{},
		sources: map[string]*source{}, tiers: map[uint16]*tier{}, dirtyT: map[*target]bool{},
		dirtyN: map[*node]bool{}, wake: never, broken: never}
}

// Configure changes the figures. What has been decided stands until something new is heard.
func (m *Set) Configure(now time.Duration, opt Options) {
	m.opt = opt
	for _, n := range m.byNum {
		m.dirtyN[n] = true
	}
	m.settle(now)
}

// List takes news of the list. whole: what is left out of it has been removed.
func (m *Set) ApplyList(now time.Duration, nodes []ListEntry, whole, saved bool) {
	if saved && m.heard {
		return
	}
	before := m.speaks()
	defer func() { m.turn(now, before) }()
	m.heard, m.saved = m.heard || !saved, saved
	if !saved {
		m.broken = never
	}
	named := make(map[string]bool, len(nodes))
	for _, l := range nodes {
		if l.State != choice.Down {
			named[l.Name] = true
		}
	}
	if whole {
		for _, name := range slices.Sorted(maps.Keys(m.listed)) {
			if !named[name] {
				m.unlist(now, m.listed[name])
			}
		}
	}
	for _, l := range nodes {
		n := m.listed[l.Name]
		switch {
		case l.State == choice.Down:
			if n != nil && !named[l.Name] {
				m.unlist(now, n)
			}
			continue
		case n == nil:
			n = &node{name: l.Name, srv: map[*target]bool{}, out: choice.Down}
			m.adopt(n, l.Addr)
			m.listed[l.Name] = n
		case n.addr != l.Addr:
			m.release(now, n)
		}
		if n.list == nil || n.addr != l.Addr || n.list.Started != l.Started { // another process
			n.named, n.dead, n.fails, n.refused = len(n.srv) > 0, false, 0, 0
		}
		n.list, n.addr = &l, l.Addr
		if old := m.byAddr[l.Addr]; old != nil && old != n { // the newer entry has the address
			m.dirtyN[old] = true
		}
		m.byAddr[l.Addr] = n
		delete(m.tombs, l.Addr)
		m.touch(l.Addr)
		m.dirtyN[n] = true
	}
	m.settle(now)
}

// ListBroken tells that the list can't be reached.
func (m *Set) ListUnreachable(now time.Duration) {
	before := m.speaks()
	m.broken = min(m.broken, now)
	m.turn(now, before)
}

// speaks reports whether the list can be heard.
func (m *Set) speaks() bool { return m.heard && m.broken == never && !m.opt.NoList }

// turn decides anew on what only SRV names, if that depends on the list's silence.
func (m *Set) turn(now time.Duration, before bool) {
	if !m.opt.SRVOnlyWhileListSilent || m.speaks() == before {
		return
	}
	for _, n := range m.byNum {
		if n.own {
			m.dirtyN[n] = true
		}
	}
	m.settle(now)
}

// ListHeard tells that the list has been reached, if with nothing new.
func (m *Set) ListReachable(now time.Duration) {
	before := m.speaks()
	m.broken = never
	m.turn(now, before)
	m.dropLost(now)
}

// Lost tells that a name's answer has been stale for too long.
func (m *Set) SourceLost(now time.Duration, name string) {
	m.SourceStale(now, name)
	m.sources[name].lost = true
	m.dropLost(now)
}

// dropLost gives up what only lost names have said, if there is a list to go by.
func (m *Set) dropLost(now time.Duration) {
	if m.opt.NoList || !m.heard || m.broken != never {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(m.sources)) {
		if s := m.sources[name]; s.lost && len(s.has) > 0 {
			m.replace(now, name, s, nil, false, true)
		}
	}
}

// adopt gives a new server of the list the number of the one that SRV alone named
// at its address: it is the same server.
func (m *Set) adopt(n *node, addr string) {
	for _, t := range m.together(addr) {
		for _, o := range t.nodes {
			if !o.own || n.num != 0 {
				continue
			}
			n.num, n.out, n.told, n.started = o.num, o.out, o.told, o.started
			n.fails, n.dead, n.refused = o.fails, o.dead, o.refused
			m.leaveTier(o)
			m.byNum[n.num] = n
			delete(m.ids, o.name)
			delete(m.leaving, o)
			delete(m.dirtyN, o)
			t.nodes = slices.DeleteFunc(t.nodes, func(x *node) bool { return x == o })
		}
	}
	if n.num == 0 {
		m.number(n)
	}
}

func (m *Set) number(n *node) {
	m.last++
	n.num = m.last
	m.byNum[n.num] = n
}

// release gives up the address that a server of the list has had.
func (m *Set) release(now time.Duration, n *node) {
	if m.byAddr[n.addr] == n {
		delete(m.byAddr, n.addr)
		for _, o := range m.listed { // an older entry may have the address as well
			if o != n && o.addr == n.addr && (m.byAddr[n.addr] == nil || o.name < m.byAddr[n.addr].name) {
				m.byAddr[n.addr] = o
			}
		}
		if o := m.byAddr[n.addr]; o != nil {
			m.dirtyN[o] = true
		} else {
			m.tomb(now, n.addr)
		}
	}
	m.touch(n.addr)
}

func (m *Set) unlist(now time.Duration, n *node) {
	delete(m.listed, n.name)
	n.gone, n.removed = true, true
	m.release(now, n)
	m.dirtyN[n] = true
}

// tomb keeps SRV from bringing back what the list has removed.
func (m *Set) tomb(now time.Duration, addr string) {
	m.tombs[addr] = never
	if len(m.at[addr]) == 0 {
		m.tombs[addr] = now + m.opt.RemovedHold
		m.wake = min(m.wake, m.tombs[addr])
	}
}

// together are the targets that share addresses with each other, beginning at some:
// whatever their names, they lead to one server.
func (m *Set) together(addrs ...string) (ts []*target) {
	if len(addrs) == 1 && len(m.at[addrs[0]]) == 1 && len(m.at[addrs[0]][0].now.Addrs) == 1 {
		return m.at[addrs[0]] // nearly always
	}
	seen := map[*target]bool{}
	looked := map[string]bool{}
	for todo := slices.Clone(addrs); len(todo) > 0; todo = todo[1:] {
		if looked[todo[0]] {
			continue
		}
		looked[todo[0]] = true
		for _, t := range m.at[todo[0]] {
			if !seen[t] {
				seen[t] = true
				ts = append(ts, t)
				todo = append(todo, t.now.Addrs...)
			}
		}
	}
	return ts
}

// touch marks all targets that lead to an address as to be placed anew.
func (m *Set) touch(addr string) {
	for _, t := range m.together(addr) {
		m.dirtyT[t] = true
	}
}

// Answer takes a whole answer of one SRV name. none: there is decidedly no
// service, and not only no target.
func (m *Set) ApplySRV(now time.Duration, name string, targets []Target, none bool) {
	s := m.sources[name]
	if s == nil {
		s = &source{}
		m.sources[name] = s
	}
	first := !s.answered
	s.answered, s.lost, s.stale = true, false, never
	has := make(map[targetKey]Target, len(targets))
	for _, t := range targets {
		k := targetKey{strings.ToLower(t.Name), t.Port}
		if old, ok := has[k]; ok && old.Priority <= t.Priority {
			continue
		}
		has[k] = t
	}
	m.replace(now, name, s, has, first, none)
}

// Drop forgets a name that is no longer asked for. What it named drains; the
// list's servers stay.
func (m *Set) DropSource(now time.Duration, name string) {
	if s := m.sources[name]; s != nil {
		delete(m.sources, name)
		m.replace(now, name, s, nil, false, true)
	}
}

func (m *Set) replace(now time.Duration, name string, s *source, has map[targetKey]Target, first, none bool) {
	var changed []targetKey
	for k, old := range s.has {
		if t, ok := has[k]; !ok || !same(t, old) {
			changed = append(changed, k)
		}
	}
	for k := range has {
		if _, ok := s.has[k]; !ok {
			changed = append(changed, k)
		}
	}
	slices.SortFunc(changed, targetKey.compare)
	s.has = has
	for _, k := range changed {
		t := m.targets[k]
		if t == nil {
			t = &target{key: k, said: map[string]Target{}, first: first}
			m.targets[k] = t
		}
		if said, ok := has[k]; ok {
			t.said[name] = said
		} else {
			delete(t.said, name)
		}
		m.merge(now, t, none)
	}
	m.settle(now)
}

func (k targetKey) compare(o targetKey) int {
	return cmp.Or(strings.Compare(k.name, o.name), cmp.Compare(k.port, o.port))
}

func same(a, b Target) bool {
	return a.Priority == b.Priority && a.Weight == b.Weight && a.Zone == b.Zone && slices.Equal(a.Addrs, b.Addrs)
}

// Stale tells that a name's answer has outlived its time and can't be renewed.
func (m *Set) SourceStale(now time.Duration, name string) {
	s := m.sources[name]
	if s == nil {
		s = &source{stale: never}
		m.sources[name] = s
	}
	s.stale = min(s.stale, now)
}

// merge makes one target of what the sources say of it: the best priority counts,
// and the addresses of all.
func (m *Set) merge(now time.Duration, t *target, none bool) {
	old := t.now.Addrs
	t.now = Target{Name: t.key.name, Port: t.key.port}
	for i, name := range slices.Sorted(maps.Keys(t.said)) {
		s := t.said[name]
		if i == 0 || s.Priority < t.now.Priority {
			t.now.Priority, t.now.Weight, t.now.Zone = s.Priority, s.Weight, s.Zone
		}
		for _, a := range s.Addrs {
			if !slices.Contains(t.now.Addrs, a) {
				t.now.Addrs = append(t.now.Addrs, a)
			}
		}
	}
	for _, a := range old {
		m.touch(a)
		if !slices.Contains(t.now.Addrs, a) {
			m.at[a] = slices.DeleteFunc(m.at[a], func(x *target) bool { return x == t })
			if len(m.at[a]) == 0 {
				delete(m.at, a)
				if _, ok := m.tombs[a]; ok {
					m.tomb(now, a)
				}
			}
		}
	}
	for _, a := range t.now.Addrs {
		if !slices.Contains(old, a) {
			m.at[a] = append(m.at[a], t)
			if _, ok := m.tombs[a]; ok {
				m.tombs[a] = never
			}
		}
		m.touch(a)
	}
	m.dirtyT[t] = true
	if len(t.said) > 0 {
		return
	}
	for _, n := range t.nodes {
		if none && !n.own {
			n.named = false
		}
		m.detach(n, t)
	}
	t.nodes = nil
	delete(m.dirtyT, t)
	delete(m.targets, t.key)
}

func (m *Set) detach(n *node, t *target) {
	delete(n.srv, t)
	if n.own {
		if n.gone = true; !n.moved {
			delete(m.ids, n.name)
		}
	}
	m.dirtyN[n] = true
}

// settle places the targets that have changed, and decides anew on the servers
// that this touches.
func (m *Set) settle(now time.Duration) {
	for len(m.dirtyT) > 0 {
		todo := slices.SortedFunc(maps.Keys(m.dirtyT), func(a, b *target) int { return a.key.compare(b.key) })
		clear(m.dirtyT)
		for _, t := range todo {
			m.place(now, t)
		}
	}
	for n := range m.dirtyN {
		m.count(n)
	}
	m.offer(now)
}

// place finds the servers that a target stands for.
func (m *Set) place(now time.Duration, t *target) {
	var claimed []*node
	blocked, double := false, false
	for _, o := range m.together(t.now.Addrs...) {
		double = double || o.key.compare(t.key) < 0
		for _, a := range o.now.Addrs {
			if n := m.byAddr[a]; n != nil && !slices.Contains(claimed, n) {
				claimed = append(claimed, n)
			}
			if _, ok := m.tombs[a]; ok {
				blocked = true
			}
		}
	}
	switch {
	case len(claimed) > 0:
		m.attach(t, claimed)
	case blocked:
		m.stats.Blocked++
		t.first = false                 // should it ever be back, it is a new one
		for _, a := range t.now.Addrs { // they all lead to what has been removed
			if _, ok := m.tombs[a]; !ok {
				m.tombs[a] = never
				m.touch(a)
			}
		}
		for _, n := range t.nodes {
			n.removed = true
		}
		m.attach(t, nil)
	case double || len(t.now.Addrs) == 0:
		if double {
			m.stats.Duplicates++
		}
		m.attach(t, nil)
	default:
		m.attach(t, []*node{m.own(now, t)})
	}
}

// own is the server of a target that only SRV names.
func (m *Set) own(now time.Duration, t *target) *node {
	for _, n := range t.nodes {
		if !n.own {
			continue
		}
		if slices.Contains(t.now.Addrs, n.addr) {
			n.meta = t.now
			return n
		}
		if slices.ContainsFunc(n.meta.Addrs, func(a string) bool { return slices.Contains(t.now.Addrs, a) }) {
			n.addr, n.meta = t.now.Addrs[0], t.now // another way to the same one
			m.stats.Moved++
			return n
		}
		delete(m.ids, n.name) // it is elsewhere: another one has its name from now on
		n.moved, t.first = true, false
	}
	n := &node{own: true, srv: map[*target]bool{}, addr: t.now.Addrs[0], meta: t.now, out: choice.Down}
	if !t.first {
		n.started = now
	}
	t.first = false // from then on whatever it comes back as is new
	n.name = m.id(t.key)
	m.ids[n.name] = t.key
	m.number(n)
	return n
}

// id names a server that only SRV names: equal at all gateways, and after a
// restart. Of two targets with one hash the later name carries itself as well.
func (m *Set) id(k targetKey) string {
	text := fmt.Sprintf("%s:%d", k.name, k.port)
	id := fmt.Sprintf("srv-%016x", m.hash(text))
	if other, ok := m.ids[id]; ok && other != k {
		id += "-" + text
	}
	return id
}

func (m *Set) attach(t *target, nodes []*node) {
	for _, n := range t.nodes {
		if !slices.Contains(nodes, n) {
			m.detach(n, t)
		}
	}
	for _, n := range nodes {
		n.srv[t], n.named = true, true
		m.dirtyN[n] = true
	}
	t.nodes = nodes
}

// usable tells whether all who have named a server still do.
func (m *Set) usable(n *node) bool {
	if n.gone {
		return false
	}
	if n.own {
		return !m.opt.SRVOnlyWhileListSilent || !m.speaks()
	}
	return n.list.State == choice.Up && m.byAddr[n.addr] == n &&
		(len(n.srv) > 0 || !n.named || m.opt.ListOverridesSRV)
}

func (m *Set) priority(n *node) uint16 {
	if n.own {
		return n.meta.Priority
	}
	best, any := m.opt.ListPriority, false
	for t := range n.srv {
		if p := t.now.Priority; !any || p < best {
			best, any = p, true
		}
	}
	return best
}

// count puts a server into its tier, and notes whether it lives.
func (m *Set) count(n *node) {
	p := m.priority(n)
	in := !n.gone && (n.own && m.usable(n) || !n.own && (len(n.srv) > 0 || !n.named || m.opt.ListOverridesSRV))
	if n.tier != nil && (!in || n.tier.priority != p) {
		m.leaveTier(n)
	}
	if in && n.tier == nil {
		t := m.tiers[p]
		if t == nil {
			t = &tier{priority: p, nodes: map[*node]bool{}}
			m.tiers[p] = t
		}
		t.size++
		t.nodes[n] = true
		n.tier = t
	}
	if n.tier == nil {
		return
	}
	if live := m.usable(n) && !n.dead; live != n.live {
		if n.live = live; live {
			n.tier.live++
		} else {
			n.tier.live--
		}
	}
}

func (m *Set) leaveTier(n *node) {
	t := n.tier
	if t == nil {
		return
	}
	t.size--
	if n.live {
		t.live--
	}
	delete(t.nodes, n)
	if n.tier, n.live = nil, false; t.size == 0 {
		delete(m.tiers, t.priority)
	}
}

// reach is the last tier needed so that a share of the first one's size lives.
func (m *Set) reach(order []uint16, share float64) uint16 {
	need, live := share*float64(m.tiers[order[0]].size), 0
	for _, p := range order {
		if live += m.tiers[p].live; float64(live) >= need-1e-9 {
			return p
		}
	}
	return order[len(order)-1]
}

// offer decides which tiers take part.
func (m *Set) offer(now time.Duration) {
	before, had := m.upTo, m.any
	if len(m.tiers) == 0 {
		m.any, m.leaveAt = false, 0
	} else {
		order := slices.Sorted(maps.Keys(m.tiers))
		join := m.reach(order, m.opt.TierJoinBelow)
		stay := max(join, m.reach(order, max(m.opt.TierLeaveAbove, m.opt.TierJoinBelow)))
		switch {
		case !m.any || join > m.upTo:
			if m.any {
				m.stats.Joins++
			}
			m.any, m.upTo, m.leaveAt = true, join, 0
		case m.tierAbove(order, stay) == 0:
			m.leaveAt = 0
			m.upTo = max(stay, order[0])
		case m.leaveAt == 0:
			m.leaveAt = now + m.opt.TierLeaveHold
			m.wake = min(m.wake, m.leaveAt)
		case now >= m.leaveAt:
			m.upTo, m.leaveAt = stay, 0
			m.stats.Leaves++
		}
	}
	if m.any == had && m.upTo == before {
		return
	}
	lo, hi := min(m.upTo, before), max(m.upTo, before)
	for p, t := range m.tiers {
		if m.any != had || p > lo && p <= hi {
			for n := range t.nodes {
				if p > m.upTo { // what it is like is not known once nothing goes there
					n.dead, n.fails, n.refused = false, 0, 0
					m.count(n)
				}
				m.dirtyN[n] = true
			}
		}
	}
}

// tierAbove counts the tiers that are offered and not needed.
func (m *Set) tierAbove(order []uint16, stay uint16) (n int) {
	for _, p := range order {
		if p > stay && p <= m.upTo {
			n++
		}
	}
	return n
}

// Outcome tells whether a server has answered an attempt or a probe. refused: no
// connection came up. died: the sources should be asked anew.
func (m *Set) RecordOutcome(now time.Duration, num uint32, ok, refused bool) (died bool) {
	n := m.byNum[num]
	if n == nil || n.gone {
		return false
	}
	if ok {
		if n.fails, n.refused = 0, 0; n.dead {
			n.dead = false
			m.dirtyN[n] = true
			m.settle(now)
		}
		return false
	}
	n.fails++
	if n.refused++; !refused {
		n.refused = 0
	}
	if n.refused >= 2 && n.own && len(n.meta.Addrs) > 1 {
		i := slices.Index(n.meta.Addrs, n.addr)
		n.addr, n.refused = n.meta.Addrs[(i+1)%len(n.meta.Addrs)], 0
		m.stats.Moved++
		m.dirtyN[n] = true
	}
	if n.fails >= m.opt.DeadAfterFailures && !n.dead {
		n.dead, died = true, true
		m.dirtyN[n] = true
	}
	if len(m.dirtyN) > 0 {
		m.settle(now)
	}
	return died
}

// Tick does what is due. Next tells when that will be.
func (m *Set) Tick(now time.Duration) {
	if now < m.wake {
		return
	}
	m.wake = never
	for _, a := range slices.Sorted(maps.Keys(m.tombs)) {
		if at := m.tombs[a]; at <= now {
			delete(m.tombs, a)
			m.touch(a)
		} else {
			m.wake = min(m.wake, at)
		}
	}
	for n := range m.leaving {
		if m.wake = min(m.wake, n.forgetAt); n.forgetAt <= now {
			m.dirtyN[n] = true
		}
	}
	if m.leaveAt > 0 {
		m.wake = min(m.wake, m.leaveAt)
	}
	m.settle(now)
}

// Next is when Tick has something to do; false: nothing is to come.
func (m *Set) NextTick() (time.Duration, bool) { return m.wake, m.wake != never }

// Take returns what has changed for the core since the last call, in order of
// number.
func (m *Set) TakeChanges(now time.Duration) []Change {
	if len(m.dirtyN) == 0 {
		return nil
	}
	var out []Change
	for _, n := range slices.SortedFunc(maps.Keys(m.dirtyN), func(a, b *node) int { return cmp.Compare(a.num, b.num) }) {
		if c, ok := m.decide(now, n); ok {
			out = append(out, c)
		}
	}
	clear(m.dirtyN)
	return out
}

// decide is what the core has to be told of a server.
func (m *Set) decide(now time.Duration, n *node) (Change, bool) {
	want := choice.Down
	switch {
	case m.usable(n) && n.tier != nil && n.tier.priority <= m.upTo:
		want = choice.Up
	case n.out == choice.Down || n.removed:
	case n.out == choice.Draining && now >= n.forgetAt && n.forgetAt > 0:
	default:
		want = choice.Draining
	}
	was := n.out
	n.out = want
	switch want {
	case choice.Up:
		delete(m.leaving, n)
	case choice.Draining:
		if was != choice.Draining {
			n.forgetAt = now + m.opt.DrainFor
			m.leaving[n] = true
			m.wake = min(m.wake, n.forgetAt)
		}
	case choice.Down:
		delete(m.leaving, n)
		if n.gone {
			m.leaveTier(n)
			delete(m.byNum, n.num)
		}
		if was == choice.Down {
			return Change{}, false
		}
	}
	c := m.member(n)
	if c.State = want; c == n.told {
		return c, false
	}
	n.told = c
	return c, true
}

func (m *Set) member(n *node) Change {
	c := Change{Addr: n.addr, Name: n.name}
	if n.list != nil {
		c.Member = n.list.Member
		c.Started = max(c.Started, n.started)
	} else {
		c.Weight, c.Zone, c.Started = n.meta.Weight, n.meta.Zone, n.started
	}
	c.ID = n.num
	return c
}

// Saved reports whether nobody has spoken since the start.
func (m *Set) OnlySavedList() bool {
	for _, s := range m.sources {
		if s.answered {
			return false
		}
	}
	return !m.heard
}

// Trusted reports whether a source has been heard within Keep.
func (m *Set) Trusted(now time.Duration) bool {
	silent := m.broken
	if m.opt.NoList {
		silent = 0
	}
	for _, s := range m.sources {
		silent = max(silent, s.stale)
	}
	return silent == never || now < silent+m.opt.TrustFor
}

// Stats tells the totals.
func (m *Set) Stats() Stats {
	s := m.stats
	s.Nodes, s.Tombstones, s.Tiers = len(m.byNum), len(m.tombs), len(m.tiers)
	for _, n := range m.byNum {
		if n.out == choice.Up {
			s.Offered++
		}
		if n.dead {
			s.Dead++
		}
	}
	for p := range m.tiers {
		if m.any && p <= m.upTo {
			s.OfferedTiers++
		}
	}
	return s
}
