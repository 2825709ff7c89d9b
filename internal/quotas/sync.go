package quotas

import (
	"asterwell/internal/fsm"
)

// Due says that an add should go out before the next tick, and may.
func (m *Meter) Due(now fsm.Time) bool {
	return (m.due || m.novel) && (m.sentAt == 0 || now-m.sentAt >= m.least(now))
}

// least is what lies between the last add and the next at least.
func (m *Meter) least(now fsm.Time) fsm.Time {
	least := leastGap
	if m.novel {
		least = m.quick.gap(now, m.gateways)
	}
	switch {
	case m.reader >= 0 && !m.slots[m.reader].late(now): // a repetition isn't paced: the holder would be taken as mute
		return m.slots[m.reader].pace(least)
	case m.patience() > leastGap: // but of many gateways none repeats often
		return m.patience()
	}
	return least
}

// Tick returns the adds that are due. Nothing is sent for idle tenants.
func (m *Meter) Tick(now fsm.Time) []fsm.Send {
	m.tickAt = now
	since := now - m.sentAt
	if since < m.least(now) && m.sentAt != 0 {
		return nil
	}
	ease := now >= m.easeAt
	retry := m.reader >= 0 && m.slots[m.reader].late(now)
	if !ease && !m.due && !m.novel && !retry {
		return nil
	}
	m.due, m.novel = false, false
	m.believe(now)
	if ease {
		m.easeAt = max(m.easeAt, now-easeGap) + easeGap
	}
	m.choose(now)
	walk := m.gather()
	var out []fsm.Send
	for i := range m.slots {
		s := &m.slots[i]
		gap, read := spareGap, i == m.reader || !m.answers(now, i)
		echo := !read && m.holds()
		if echo {
			gap = easeGap
		}
		if now-m.nearAt < nearGap && m.nearAt != 0 { // others may read the other holder: it must know as much
			gap = s.pace(max(leastGap, fsm.Time(m.gateways)*spareEach))
		}
		switch {
		case s.addr == "":
			continue
		case i == m.reader:
		case now-s.spareAt < gap && !(read && ease):
			continue
		}
		items, places, more := m.items(now, walk, i, read)
		if len(items) == 0 {
			continue
		}
		m.due = m.due || more && read
		late := s.late(now)
		if late {
			s.tries++
		}
		if (read || echo) && s.pending == 0 {
			s.pending = now
		}
		if !read && now-s.proveAt >= proveGap {
			s.proveAt, echo = now, true
		}
		s.spareAt = now
		add := Add{Incarnation: m.life, Period: m.period, Timestamp: now, Read: read, Ping: echo, NearLimit: now-m.nearAt < nearGap, AnswersProbes: true,
			Items: items, RosterHash: m.rosters.newest()}
		if r := m.rosters.find(s.list); r != nil {
			add.RosterHash = r.hash
			add.Packed, add.Items = r.pack(m.period, items, places)
			if s.brief = s.brief && !late; s.brief && len(add.Items) == 0 { // what isn't answered may not have been read
				add = add.shorten()
			}
		}
		out = append(out, fsm.Send{To: s.addr, Msg: add})
	}
	for _, e := range walk {
		for _, told := range e.told {
			e.sent = max(e.sent, told)
		}
	}
	m.settled()
	if len(out) > 0 {
		if m.sentAt = now; since < crowdRead {
			m.quick.left--
		}
	}
	return out
}

// quick is how many first reads may still follow another message closely. Where a gateway sees few
// tenants that is all of them; where it sees thousands, each of them once, a message for each would be
// most of what control sends, and those of some 25 ms go together; of more than 250 gateways, of as
// long as the holder has for one add of each, up to what lies between any two adds.
type quick struct {
	left float64
	at   fsm.Time
}

func (q *quick) gap(now fsm.Time, gateways int) fsm.Time {
	q.left = min(quickMost, q.left+(now-q.at).Seconds()*min(quickRate, quickAll/float64(max(1, gateways))))
	if q.at = now; q.left < 1 {
		return min(leastGap, max(crowdRead, fsm.Time(gateways)*crowdEach))
	}
	return firstGap
}

// choose takes the first holder that answers. One that was not read before is
// told everything again: it may be new.
func (m *Meter) choose(now fsm.Time) {
	reader := -1
	for i := range m.slots {
		if m.answers(now, i) {
			reader = i
			break
		}
	}
	if reader != m.reader {
		m.changes++
	}
	if reader != m.reader && reader >= 0 {
		m.slots[reader].refill, m.readAt = true, now
	}
	m.reader = reader
}

// items is what a holder is told, and whether there was more than an add has room for.
func (m *Meter) items(now fsm.Time, walk []*entry, i int, read bool) (out []Item, places []int32, more bool) {
	s := &m.slots[i]
	var t talks
	for _, e := range walk {
		if e.cur.sum == 0 && e.old.period == 0 && !e.asked {
			continue
		}
		e.roll(now, m.period, m.prev)
		if e.old.period != 0 && read && now-m.periodAt >= settle {
			t.old = append(t.old, e)
		}
		e.again[i] = (e.again[i] || s.refill) && e.cur.sum > 0
		if e.cur.sum != e.told[i] || e.again[i] || read && (e.cur.sum > e.cur.acked || e.asked) && !m.onItsWay(now, e, s) {
			t.cur = append(t.cur, e)
		}
	}
	s.refill = false // walk was all there are
	all := t.len()
	t.some(now, s, bound(m.gateways))
	out, places = make([]Item, 0, t.len()), make([]int32, 0, t.len())
	for k, j := 0, 0; k < len(t.old) || j < len(t.cur); {
		if k < len(t.old) && (j == len(t.cur) || byTenant(t.old[k], t.cur[j]) <= 0) {
			e := t.old[k]
			k++
			places = append(places, e.place)
			out = append(out, Item{Tenant: e.tenant, Period: e.old.period, Sum: e.old.sum, Unreported: e.old.sum - e.old.acked})
			continue
		}
		e := t.cur[j]
		j++
		places = append(places, e.place)
		out = append(out, Item{Tenant: e.tenant, Period: e.cur.period, Sum: e.cur.sum,
			Unreported: e.cur.sum - min(e.cur.acked, e.told[i]), Interval: uint64(e.gap / 1e3 / (1 - m.reserve(e))),
			Used: m.vouch(now, e, i), NearLimit: e.nearAt != 0 && now-e.nearAt < nearGap})
		if i == m.reader {
			e.saidAt = now
		}
		if e.again[i] = false; e.cur.period != 0 {
			e.told[i] = e.cur.sum
		}
	}
	return out, places, len(out) < all
}

// vouch is what a holder is told to be in use of a tenant's burst: by one that hasn't learned it from that holder.
// What a holder has told is not told back to it, or what each gateway reckons with on top would add up.
func (m *Meter) vouch(now fsm.Time, e *entry, i int) uint64 {
	if i == m.reader && now-m.readAt >= vouchGap {
		return 0
	}
	return e.used(now)
}

// Receive hears an answer of a holder.
func (m *Meter) Receive(now fsm.Time, from string, msg any) []fsm.Send {
	a, ok := msg.(Answer)
	if ok && a.Probe {
		return []fsm.Send{{To: from, Msg: Add{Incarnation: m.life, Period: m.period, Timestamp: now, AnswersProbes: true, ProbeTimestamp: a.Timestamp}}}
	}
	i := m.slot(from)
	if !ok || i < 0 {
		return nil
	}
	a, lost, ok := a.lengthen(m.life)
	if !ok || a.Incarnation != m.life || a.Timestamp > now {
		return nil
	}
	s := &m.slots[i]
	if s.brief = a.ReadsCompact && !lost; lost { // it lives, and is told again, with the whole life
		s.refill, m.due = true, true
		if s.pending != 0 && a.Timestamp >= s.pending {
			s.pending, s.tries = 0, 0
		}
		return nil
	}
	totals := m.unpack(now, i, a)
	for _, t := range totals { // up to now, by what was known
		if e := m.entries[t.Tenant]; e != nil {
			m.touch(now, e)
		}
	}
	if s.pending != 0 && a.Timestamp >= s.pending {
		s.pending, s.tries = 0, 0
	}
	s.way.note(now, now-a.Timestamp)
	s.missing, s.paced = a.Missing, a.SendInterval
	m.count(now)
	if a.HeardOthers {
		m.companyAt = now
	}
	if a.Period > m.period {
		m.prev, m.period, m.periodAt = m.period, a.Period, now
	}
	for _, t := range totals {
		if e := m.entries[t.Tenant]; e != nil {
			m.total(now, e, t, a.Timestamp, s)
		}
	}
	return nil
}

// unpack returns an answer's totals, and notes which roster the holder has.
func (m *Meter) unpack(now fsm.Time, i int, a Answer) []Total {
	s := &m.slots[i]
	used := s.list
	switch {
	case a.Timestamp < s.sinceAt:
		used = 0
	case a.Timestamp < s.listAt:
		used = s.former
	}
	totals := a.Totals
	if r := m.rosters.find(used); r != nil && a.PackedAccepted {
		more, ok := r.totals(a.Period, a.Packed)
		if !ok {
			return nil
		}
		totals = append(more, totals...)
	}
	next := s.list
	switch {
	case m.rosters.find(a.RosterHash) != nil:
		next = a.RosterHash
	case !a.PackedAccepted && a.Timestamp >= s.listAt: // it had numbers that it doesn't know, or can't know the names' numbers
		next = 0
	}
	if next == s.list {
		return totals
	}
	if !a.PackedAccepted && s.list != 0 {
		s.refill = true
	}
	s.list, s.former, s.listAt, s.sinceAt = next, s.list, now, s.listAt
	return totals
}

func (m *Meter) total(now fsm.Time, e *entry, t Total, stamp fsm.Time, s *slot) {
	m.touch(now, e)
	e.vague = !t.LevelKnown && t.Period == e.cur.period
	if t.Period == 0 || t.Period != e.cur.period {
		m.reread(now, e, t)
		if e.asked && t.LevelKnown {
			m.hurry(e) // by the name that it has now
		}
		return
	}
	c := &e.cur
	var n float64
	if c.based && t.Others > c.others {
		n = float64(t.Others-c.others) / milli
	}
	var own float64
	if mine := min(t.Own, c.sum); mine > c.acked {
		own = float64(mine-c.acked) / milli
		c.acked = mine
	}
	fresh := t.LevelKnown && c.based && t.Others >= c.others
	c.others, c.based, c.read = max(c.others, t.Others), true, true
	since := s.unheard(now, stamp) // others pass their rate meanwhile
	if m.first(now, e, t, stamp) {
		e.tat += since
	} else if e.seen {
		e.learn(now, n)
		if fresh && now-stamp <= s.way.stretch(freshGap) && m.trusts(now) {
			e.ease(now+since, float64(t.Level)/milli)
		}
		if t.LevelKnown { // sums only tell what was added since the answer before, which may have been another holder's
			e.lift(stamp, float64(t.Level)/milli-rounded)
		}
	}
	m.compare(e, t, stamp)
	e.weigh(now, own, n)
}

// first sets TAT of an unseen tenant by the level that the holder knows, and by
// what was passed here and isn't in that level.
func (m *Meter) first(now fsm.Time, e *entry, t Total, stamp fsm.Time) bool {
	if e.seen || !t.LevelKnown || stamp < e.since || e.mute {
		return false
	}
	e.seen, e.asked = true, false
	e.tat = now
	if over := float64(t.Level)/milli + e.unheard(); over > 0 {
		e.tat += e.span(over)
	}
	return true
}

// reread takes the last of what the others added under the period before.
func (m *Meter) reread(now fsm.Time, e *entry, t Total) {
	o := &e.old
	if t.Period == 0 || t.Period != o.period {
		return
	}
	o.acked = max(o.acked, min(t.Own, o.sum))
	if o.based && e.seen && t.Others > o.others {
		n := float64(t.Others-o.others) / milli
		if o.most > 0 {
			n, o.most = min(n, o.most), max(1e-9, o.most-n)
		}
		e.learn(now, n)
	}
	o.others = max(o.others, t.Others)
	if now-m.periodAt >= settle && o.acked >= o.sum {
		e.old = name{}
	}
}

// ReadOverdue reports whether a holder leaves adds unanswered, so that another way to it
// should be tried. What is late by a few ways there and back may be lost; one that has said
// that it is told more than it can count drops adds, and ways round bring it more of them.
func (m *Meter) ReadOverdue(now fsm.Time, holder string) bool {
	i := m.slot(holder)
	if i < 0 || !m.slots[i].late(now) {
		return false
	}
	s := &m.slots[i]
	switch unanswered := now - s.pending; {
	case s.paced > 0:
		return unanswered >= strainedMute
	case s.far(): // what goes through other regions varies by more than what stays in one
		return unanswered >= s.way.stretch(retryGap)+retryGap
	}
	return true
}
