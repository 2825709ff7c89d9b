package quotas

import (
	"asterwell/internal/fsm"
)

// Due reports whether an add should be sent before the next tick, and may be.
func (m *Meter) Due(now fsm.Time) bool {
	return (m.due || m.newDemand) && (m.sentAt == 0 || now-m.sentAt >= m.minSendGap(now))
}

// minSendGap is the shortest gap between two adds at this moment.
func (m *Meter) minSendGap(now fsm.Time) fsm.Time {
	least := minGap
	if m.newDemand {
		least = m.earlyReads.gap(now, m.gateways)
	}
	switch {
	// A repetition isn't delayed by the requested gap, or the holder would count as silent.
	case m.reader >= 0 && !m.holders[m.reader].retryDue(now):
		return m.holders[m.reader].sendGap(least)
	case m.retryBackoff() > minGap: // in large fleets repetitions are rare
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
	relaxed := now >= m.relaxedAt
	retry := m.reader >= 0 && m.holders[m.reader].retryDue(now)
	if !relaxed && !m.due && !m.newDemand && !retry {
		return nil
	}
	m.due, m.newDemand = false, false
	m.updatePeak(now)
	if relaxed {
		m.relaxedAt = max(m.relaxedAt, now-relaxedGap) + relaxedGap
	}
	m.chooseReader(now)
	tenants := m.activeTenants()
	var out []fsm.Send
	for i := range m.holders {
		s := &m.holders[i]
		gap, read := standbyGap, i == m.reader || !m.holderAnswers(now, i)
		ping := !read && m.isHolder()
		if ping {
			gap = relaxedGap
		}
		if now-m.nearLimitAt < nearLimitWindow && m.nearLimitAt != 0 { // others may read the other holder, which must know as much
			gap = s.sendGap(max(minGap, fsm.Time(m.gateways)*standbyPerGateway))
		}
		switch {
		case s.addr == "":
			continue
		case i == m.reader:
		case now-s.lastAddAt < gap && !(read && relaxed):
			continue
		}
		items, places, moreItems := m.collectItems(now, tenants, i, read)
		if len(items) == 0 {
			continue
		}
		m.due = m.due || moreItems && read
		late := s.retryDue(now)
		if late {
			s.retries++
		}
		if (read || ping) && s.unansweredSince == 0 {
			s.unansweredSince = now
		}
		if !read && now-s.rosterCheckAt >= rosterCheckGap {
			s.rosterCheckAt, ping = now, true
		}
		s.lastAddAt = now
		add := Add{Incarnation: m.incarnation, Period: m.period, Timestamp: now, Read: read, Ping: ping, NearLimit: now-m.nearLimitAt < nearLimitWindow, AnswersProbes: true,
			Items: items, RosterHash: m.rosters.newestHash()}
		if r := m.rosters.byHash(s.rosterHash); r != nil {
			add.RosterHash = r.hash
			add.Packed, add.Items = r.pack(m.period, items, places)
			// The holder may not have been able to read a compact add that it didn't answer.
			if s.readsCompact = s.readsCompact && !late; s.readsCompact && len(add.Items) == 0 {
				add = add.compact()
			}
		}
		out = append(out, fsm.Send{To: s.addr, Msg: add})
	}
	for _, e := range tenants {
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

// earlyReads is a token bucket for first reads sent shortly after another message. Where a gateway sees few
// tenants it covers all first reads. Where it sees thousands, each once, a message for each would be most
// of the control traffic, so the reads of some 25 ms are sent together; with more than 250 gateways those
// of a longer time, in which the holder can take one add of each, but at most minGap.
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

// chooseReader selects the first holder that answers. A newly selected one is told everything again, as it
// may be new.
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

// collectItems returns the items for a holder with their places, and whether there are more than fit in one
// add.
func (m *Meter) collectItems(now fsm.Time, tenants []*tenantState, i int, read bool) (out []Item, places []int32, more bool) {
	s := &m.holders[i]
	var t pendingItems
	for _, e := range tenants {
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
	s.resendAll = false // tenants had all of them
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

// usedToReport is the usage reported to a holder by a gateway that hasn't learned it from this holder. A
// holder's own level isn't reported back to it: what each gateway adds on top would accumulate.
func (m *Meter) usedToReport(now fsm.Time, e *tenantState, i int) uint64 {
	if i == m.reader && now-m.readerSince >= reportUsedFor {
		return 0
	}
	return e.usedUnits(now)
}

// Receive handles an answer or a probe of a holder.
func (m *Meter) Receive(now fsm.Time, from string, msg any) []fsm.Send {
	a, ok := msg.(Answer)
	if ok && a.Probe {
		return []fsm.Send{{To: from, Msg: Add{Incarnation: m.incarnation, Period: m.period, Timestamp: now, AnswersProbes: true, ProbeTimestamp: a.Timestamp}}}
	}
	i := m.holderIndex(from)
	if !ok || i < 0 {
		return nil
	}
	a, unknown, ok := a.expand(m.incarnation)
	if !ok || a.Incarnation != m.incarnation || a.Timestamp > now {
		return nil
	}
	s := &m.holders[i]
	if s.readsCompact = a.ReadsCompact && !unknown; unknown { // the holder lives: it gets a full add with the whole incarnation
		s.resendAll, m.due = true, true
		if s.unansweredSince != 0 && a.Timestamp >= s.unansweredSince {
			s.unansweredSince, s.retries = 0, 0
		}
		return nil
	}
	totals := m.unpack(now, i, a)
	for _, t := range totals { // up to now by the state before the answer
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

// unpack returns the totals of an answer, and records which roster the holder has.
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
		packed, ok := r.totals(a.Period, a.Packed)
		if !ok {
			return nil
		}
		totals = append(packed, totals...)
	}
	next := s.rosterHash
	switch {
	case m.rosters.byHash(a.RosterHash) != nil:
		next = a.RosterHash
	// The holder could not use the roster of the add, or named no known one.
	case !a.PackedAccepted && a.Timestamp >= s.rosterSince:
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

func (m *Meter) applyTotal(now fsm.Time, e *tenantState, t Total, timestamp fsm.Time, s *holderState) {
	m.refresh(now, e)
	e.levelUnknown = !t.LevelKnown && t.Period == e.cur.period
	if t.Period == 0 || t.Period != e.cur.period {
		m.applyPrevTotal(now, e, t)
		if e.readWanted && t.LevelKnown {
			m.requestRead(e) // by the current period
		}
		return
	}
	cur := &e.cur
	var newOthers float64
	if cur.hasBase && t.Others > cur.others {
		newOthers = float64(t.Others-cur.others) / milliUnits
	}
	var newOwn float64
	if own := min(t.Own, cur.sum); own > cur.acked {
		newOwn = float64(own-cur.acked) / milliUnits
		cur.acked = own
	}
	fresh := t.LevelKnown && cur.hasBase && t.Others >= cur.others
	cur.others, cur.hasBase, cur.answered = max(cur.others, t.Others), true, true
	staleness := s.unreportedSpan(now, timestamp) // in which others pass units at the tenant's rate
	if m.applyFirstRead(now, e, t, timestamp) {
		e.tat += staleness
	} else if e.levelRead {
		e.addOthers(now, newOthers)
		if fresh && now-timestamp <= s.rtt.extend(freshAnswer) && m.readerTrusted(now) {
			e.lowerToLevel(now+staleness, float64(t.Level)/milliUnits)
		}
		if t.LevelKnown { // sums only have what was added since the previous answer, which may have been another holder's
			e.raiseToLevel(timestamp, float64(t.Level)/milliUnits-levelRounding)
		}
	}
	m.noteBehind(e, t, timestamp)
	e.noteTraffic(now, newOwn, newOthers)
}

// applyFirstRead sets TAT of an unread tenant by the level that the holder knows, and the units passed here
// that are not in it.
func (m *Meter) applyFirstRead(now fsm.Time, e *tenantState, t Total, timestamp fsm.Time) bool {
	if e.levelRead || !t.LevelKnown || timestamp < e.unreadSince || e.holdersSilent {
		return false
	}
	e.levelRead, e.readWanted = true, false
	e.tat = now
	if over := float64(t.Level)/milliUnits + e.unacked(); over > 0 {
		e.tat += e.duration(over)
	}
	return true
}

// applyPrevTotal takes the last units that others added in the previous period.
func (m *Meter) applyPrevTotal(now fsm.Time, e *tenantState, t Total) {
	prev := &e.prev
	if t.Period == 0 || t.Period != prev.period {
		return
	}
	prev.acked = max(prev.acked, min(t.Own, prev.sum))
	if prev.hasBase && e.levelRead && t.Others > prev.others {
		units := float64(t.Others-prev.others) / milliUnits
		if prev.maxNew > 0 {
			units, prev.maxNew = min(units, prev.maxNew), max(1e-9, prev.maxNew-units)
		}
		e.addOthers(now, units)
	}
	prev.others = max(prev.others, t.Others)
	if now-m.periodAt >= periodSettleTime && prev.acked >= prev.sum {
		e.prev = periodSum{}
	}
}

// ReadOverdue reports whether a holder leaves adds unanswered, so that another route to it should be tried.
// After several round trips an answer is probably lost. A holder that has asked for fewer adds is
// overloaded and drops some; further routes would only bring it more of them.
func (m *Meter) ReadOverdue(now fsm.Time, holder string) bool {
	i := m.holderIndex(holder)
	if i < 0 || !m.holders[i].retryDue(now) {
		return false
	}
	s := &m.holders[i]
	switch unanswered := now - s.unansweredSince; {
	case s.sendInterval > 0:
		return unanswered >= overloadedTimeout
	case s.far(): // routes through other regions vary by more than those within one
		return unanswered >= s.rtt.extend(retryGap)+retryGap
	}
	return true
}
