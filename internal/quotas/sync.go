package quotas

import (
	"asterwell/internal/fsm"
)

// Due says that an add should go out before the next tick, and may.
func (m *Meter) Due(now fsm.Time) bool {
	return (m.due || m.newDemand) && (m.sentAt == 0 || now-m.sentAt >= m.minSendGap(now))
}

// minSendGap is what lies between the last add and the next at least.
func (m *Meter) minSendGap(now fsm.Time) fsm.Time {
	least := minGap
	if m.newDemand {
		least = m.earlyReads.gap(now, m.gateways)
	}
	switch {
	case m.reader >= 0 && !m.holders[m.reader].retryDue(now): // a repetition isn't paced: the holder would be taken as mute
		return m.holders[m.reader].sendGap(least)
	case m.retryBackoff() > minGap: // but of many gateways none repeats often
		return m.retryBackoff()
	}
	return least
}

// Tick returns the adds that are due. Nothing is sent for idle tenants.
func (m *Meter) Tick(now fsm.Time) []fsm.Send {
	m.tickAt = now
	since := now - m.sentAt
	if since < m.minSendGap(now) && m.sentAt != 0 {
		return nil
	}
	ease := now >= m.relaxedAt
	retry := m.reader >= 0 && m.holders[m.reader].retryDue(now)
	if !ease && !m.due && !m.newDemand && !retry {
		return nil
	}
	m.due, m.newDemand = false, false
	m.updatePeak(now)
	if ease {
		m.relaxedAt = max(m.relaxedAt, now-relaxedGap) + relaxedGap
	}
	m.chooseReader(now)
	walk := m.activeTenants()
	var out []fsm.Send
	for i := range m.holders {
		s := &m.holders[i]
		gap, read := standbyGap, i == m.reader || !m.holderAnswers(now, i)
		echo := !read && m.isHolder()
		if echo {
			gap = relaxedGap
		}
		if now-m.nearLimitAt < nearLimitWindow && m.nearLimitAt != 0 { // others may read the other holder: it must know as much
			gap = s.sendGap(max(minGap, fsm.Time(m.gateways)*standbyPerGateway))
		}
		switch {
		case s.addr == "":
			continue
		case i == m.reader:
		case now-s.lastAddAt < gap && !(read && ease):
			continue
		}
		items, places, more := m.collectItems(now, walk, i, read)
		if len(items) == 0 {
			continue
		}
		m.due = m.due || more && read
		late := s.retryDue(now)
		if late {
			s.retries++
		}
		if (read || echo) && s.unansweredSince == 0 {
			s.unansweredSince = now
		}
		if !read && now-s.rosterCheckAt >= rosterCheckGap {
			s.rosterCheckAt, echo = now, true
		}
		s.lastAddAt = now
		add := Add{Incarnation: m.incarnation, Period: m.period, Timestamp: now, Read: read, Ping: echo, NearLimit: now-m.nearLimitAt < nearLimitWindow, AnswersProbes: true,
			Items: items, RosterHash: m.rosters.newestHash()}
		if r := m.rosters.byHash(s.rosterHash); r != nil {
			add.RosterHash = r.hash
			add.Packed, add.Items = r.pack(m.period, items, places)
			if s.readsCompact = s.readsCompact && !late; s.readsCompact && len(add.Items) == 0 { // what isn't answered may not have been read
				add = add.compact()
			}
		}
		out = append(out, fsm.Send{To: s.addr, Msg: add})
	}
	for _, e := range walk {
		for _, told := range e.reported {
			e.sent = max(e.sent, told)
		}
	}
	m.dropSettled()
	if len(out) > 0 {
		if m.sentAt = now; since < batchedReadGap {
			m.earlyReads.left--
		}
	}
	return out
}

// earlyReads is how many first reads may still follow another message closely. Where a gateway sees few
// tenants that is all of them; where it sees thousands, each of them once, a message for each would be
// most of what control sends, and those of some 25 ms go together; of more than 250 gateways, of as
// long as the holder has for one add of each, up to what lies between any two adds.
type earlyReads struct {
	left float64
	at   fsm.Time
}

func (q *earlyReads) gap(now fsm.Time, gateways int) fsm.Time {
	q.left = min(earlyReadBurst, q.left+(now-q.at).Seconds()*min(earlyReadRate, earlyReadFleetRate/float64(max(1, gateways))))
	if q.at = now; q.left < 1 {
		return min(minGap, max(batchedReadGap, fsm.Time(gateways)*batchedReadPerGateway))
	}
	return earlyReadGap
}

// chooseReader takes the first holder that answers. One that was not read before is
// told everything again: it may be new.
func (m *Meter) chooseReader(now fsm.Time) {
	reader := -1
	for i := range m.holders {
		if m.holderAnswers(now, i) {
			reader = i
			break
		}
	}
	if reader != m.reader {
		m.holderChanges++
	}
	if reader != m.reader && reader >= 0 {
		m.holders[reader].resendAll, m.readerSince = true, now
	}
	m.reader = reader
}

// collectItems is what a holder is told, and whether there was more than an add has room for.
func (m *Meter) collectItems(now fsm.Time, walk []*tenantState, i int, read bool) (out []Item, places []int32, more bool) {
	s := &m.holders[i]
	var t pendingItems
	for _, e := range walk {
		if e.cur.sum == 0 && e.prev.period == 0 && !e.readWanted {
			continue
		}
		e.rollPeriod(now, m.period, m.prev)
		if e.prev.period != 0 && read && now-m.periodAt >= periodSettleTime {
			t.prev = append(t.prev, e)
		}
		e.resend[i] = (e.resend[i] || s.resendAll) && e.cur.sum > 0
		if e.cur.sum != e.reported[i] || e.resend[i] || read && (e.cur.sum > e.cur.acked || e.readWanted) && !m.inFlight(now, e, s) {
			t.cur = append(t.cur, e)
		}
	}
	s.resendAll = false // walk was all there are
	all := t.len()
	t.trim(now, s, itemLimit(m.gateways))
	out, places = make([]Item, 0, t.len()), make([]int32, 0, t.len())
	for k, j := 0, 0; k < len(t.prev) || j < len(t.cur); {
		if k < len(t.prev) && (j == len(t.cur) || byPlace(t.prev[k], t.cur[j]) <= 0) {
			e := t.prev[k]
			k++
			places = append(places, e.place)
			out = append(out, Item{Tenant: e.tenant, Period: e.prev.period, Sum: e.prev.sum, Unreported: e.prev.sum - e.prev.acked})
			continue
		}
		e := t.cur[j]
		j++
		places = append(places, e.place)
		out = append(out, Item{Tenant: e.tenant, Period: e.cur.period, Sum: e.cur.sum,
			Unreported: e.cur.sum - min(e.cur.acked, e.reported[i]), Interval: uint64(e.interval / 1e3 / (1 - m.reservedPart(e))),
			Used: m.usedToReport(now, e, i), NearLimit: e.nearLimitAt != 0 && now-e.nearLimitAt < nearLimitWindow})
		if i == m.reader {
			e.reportedAt = now
		}
		if e.resend[i] = false; e.cur.period != 0 {
			e.reported[i] = e.cur.sum
		}
	}
	return out, places, len(out) < all
}

// usedToReport is what a holder is told to be in use of a tenant's burst: by one that hasn't learned it from that holder.
// What a holder has told is not told back to it, or what each gateway reckons with on top would add up.
func (m *Meter) usedToReport(now fsm.Time, e *tenantState, i int) uint64 {
	if i == m.reader && now-m.readerSince >= reportUsedFor {
		return 0
	}
	return e.usedUnits(now)
}

// Receive hears an answer of a holder.
func (m *Meter) Receive(now fsm.Time, from string, msg any) []fsm.Send {
	a, ok := msg.(Answer)
	if ok && a.Probe {
		return []fsm.Send{{To: from, Msg: Add{Incarnation: m.incarnation, Period: m.period, Timestamp: now, AnswersProbes: true, ProbeTimestamp: a.Timestamp}}}
	}
	i := m.holderIndex(from)
	if !ok || i < 0 {
		return nil
	}
	a, lost, ok := a.expand(m.incarnation)
	if !ok || a.Incarnation != m.incarnation || a.Timestamp > now {
		return nil
	}
	s := &m.holders[i]
	if s.readsCompact = a.ReadsCompact && !lost; lost { // it lives, and is told again, with the whole life
		s.resendAll, m.due = true, true
		if s.unansweredSince != 0 && a.Timestamp >= s.unansweredSince {
			s.unansweredSince, s.retries = 0, 0
		}
		return nil
	}
	totals := m.unpack(now, i, a)
	for _, t := range totals { // up to now, by what was known
		if e := m.tenants[t.Tenant]; e != nil {
			m.refresh(now, e)
		}
	}
	if s.unansweredSince != 0 && a.Timestamp >= s.unansweredSince {
		s.unansweredSince, s.retries = 0, 0
	}
	s.rtt.observe(now, now-a.Timestamp)
	s.missing, s.sendInterval = a.Missing, a.SendInterval
	m.noteLosses(now)
	if a.HeardOthers {
		m.othersHeardAt = now
	}
	if a.Period > m.period {
		m.prev, m.period, m.periodAt = m.period, a.Period, now
	}
	for _, t := range totals {
		if e := m.tenants[t.Tenant]; e != nil {
			m.applyTotal(now, e, t, a.Timestamp, s)
		}
	}
	return nil
}

// unpack returns an answer's totals, and notes which roster the holder has.
func (m *Meter) unpack(now fsm.Time, i int, a Answer) []Total {
	s := &m.holders[i]
	used := s.rosterHash
	switch {
	case a.Timestamp < s.prevRosterSince:
		used = 0
	case a.Timestamp < s.rosterSince:
		used = s.prevRosterHash
	}
	totals := a.Totals
	if r := m.rosters.byHash(used); r != nil && a.PackedAccepted {
		more, ok := r.totals(a.Period, a.Packed)
		if !ok {
			return nil
		}
		totals = append(more, totals...)
	}
	next := s.rosterHash
	switch {
	case m.rosters.byHash(a.RosterHash) != nil:
		next = a.RosterHash
	case !a.PackedAccepted && a.Timestamp >= s.rosterSince: // it had numbers that it doesn't know, or can't know the names' numbers
		next = 0
	}
	if next == s.rosterHash {
		return totals
	}
	if !a.PackedAccepted && s.rosterHash != 0 {
		s.resendAll = true
	}
	s.rosterHash, s.prevRosterHash, s.rosterSince, s.prevRosterSince = next, s.rosterHash, now, s.rosterSince
	return totals
}

func (m *Meter) applyTotal(now fsm.Time, e *tenantState, t Total, stamp fsm.Time, s *holderState) {
	m.refresh(now, e)
	e.levelUnknown = !t.LevelKnown && t.Period == e.cur.period
	if t.Period == 0 || t.Period != e.cur.period {
		m.applyPrevTotal(now, e, t)
		if e.readWanted && t.LevelKnown {
			m.requestRead(e) // by the name that it has now
		}
		return
	}
	c := &e.cur
	var n float64
	if c.hasBase && t.Others > c.others {
		n = float64(t.Others-c.others) / milliUnits
	}
	var own float64
	if mine := min(t.Own, c.sum); mine > c.acked {
		own = float64(mine-c.acked) / milliUnits
		c.acked = mine
	}
	fresh := t.LevelKnown && c.hasBase && t.Others >= c.others
	c.others, c.hasBase, c.answered = max(c.others, t.Others), true, true
	since := s.unreportedSpan(now, stamp) // others pass their rate meanwhile
	if m.applyFirstRead(now, e, t, stamp) {
		e.tat += since
	} else if e.levelRead {
		e.addOthers(now, n)
		if fresh && now-stamp <= s.rtt.extend(freshAnswer) && m.readerTrusted(now) {
			e.lowerToLevel(now+since, float64(t.Level)/milliUnits)
		}
		if t.LevelKnown { // sums only tell what was added since the answer before, which may have been another holder's
			e.raiseToLevel(stamp, float64(t.Level)/milliUnits-levelRounding)
		}
	}
	m.noteBehind(e, t, stamp)
	e.noteTraffic(now, own, n)
}

// applyFirstRead sets TAT of an unseen tenant by the level that the holder knows, and by
// what was passed here and isn't in that level.
func (m *Meter) applyFirstRead(now fsm.Time, e *tenantState, t Total, stamp fsm.Time) bool {
	if e.levelRead || !t.LevelKnown || stamp < e.unreadSince || e.holdersSilent {
		return false
	}
	e.levelRead, e.readWanted = true, false
	e.tat = now
	if over := float64(t.Level)/milliUnits + e.unacked(); over > 0 {
		e.tat += e.duration(over)
	}
	return true
}

// applyPrevTotal takes the last of what the others added under the period before.
func (m *Meter) applyPrevTotal(now fsm.Time, e *tenantState, t Total) {
	o := &e.prev
	if t.Period == 0 || t.Period != o.period {
		return
	}
	o.acked = max(o.acked, min(t.Own, o.sum))
	if o.hasBase && e.levelRead && t.Others > o.others {
		n := float64(t.Others-o.others) / milliUnits
		if o.maxNew > 0 {
			n, o.maxNew = min(n, o.maxNew), max(1e-9, o.maxNew-n)
		}
		e.addOthers(now, n)
	}
	o.others = max(o.others, t.Others)
	if now-m.periodAt >= periodSettleTime && o.acked >= o.sum {
		e.prev = periodSum{}
	}
}

// ReadOverdue reports whether a holder leaves adds unanswered, so that another way to it
// should be tried. What is late by a few ways there and back may be lost; one that has said
// that it is told more than it can count drops adds, and ways round bring it more of them.
func (m *Meter) ReadOverdue(now fsm.Time, holder string) bool {
	i := m.holderIndex(holder)
	if i < 0 || !m.holders[i].retryDue(now) {
		return false
	}
	s := &m.holders[i]
	switch unanswered := now - s.unansweredSince; {
	case s.sendInterval > 0:
		return unanswered >= overloadedTimeout
	case s.far(): // what goes through other regions varies by more than what stays in one
		return unanswered >= s.rtt.extend(retryGap)+retryGap
	}
	return true
}
