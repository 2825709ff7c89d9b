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
		holder := &m.holders[i]
		gap, read := standbyGap, i == m.reader || !m.holderAnswers(now, i)
		ping := !read && m.isHolder()
		if ping {
			gap = relaxedGap
		}
		if now-m.nearLimitAt < nearLimitWindow && m.nearLimitAt != 0 { // others may read the other holder, which must know as much
			gap = holder.sendGap(max(minGap, fsm.Time(m.gateways)*standbyPerGateway))
		}
		switch {
		case holder.addr == "":
			continue
		case i == m.reader:
		case now-holder.lastAddAt < gap && !(read && relaxed):
			continue
		}
		items, places, moreItems := m.collectItems(now, tenants, i, read)
		if len(items) == 0 {
			continue
		}
		m.due = m.due || moreItems && read
		late := holder.retryDue(now)
		if late {
			holder.retries++
		}
		if (read || ping) && holder.unansweredSince == 0 {
			holder.unansweredSince = now
		}
		if !read && now-holder.rosterCheckAt >= rosterCheckGap {
			holder.rosterCheckAt, ping = now, true
		}
		holder.lastAddAt = now
		add := Add{Incarnation: m.incarnation, Period: m.period, Timestamp: now, Read: read, Ping: ping, NearLimit: now-m.nearLimitAt < nearLimitWindow, AnswersProbes: true,
			Items: items, RosterHash: m.rosters.newestHash()}
		if r := m.rosters.byHash(holder.rosterHash); r != nil {
			add.RosterHash = r.hash
			add.Packed, add.Items = r.pack(m.period, items, places)
			// The holder may not have been able to read a compact add that it didn't answer.
			if holder.readsCompact = holder.readsCompact && !late; holder.readsCompact && len(add.Items) == 0 {
				add = add.compact()
			}
		}
		out = append(out, fsm.Send{To: holder.addr, Msg: add})
	}
	for _, state := range tenants {
		for _, told := range state.reported {
			state.sent = max(state.sent, told)
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

func (r *earlyReads) gap(now fsm.Time, gateways int) fsm.Time {
	r.left = min(earlyReadBurst, r.left+(now-r.at).Seconds()*min(earlyReadRate, earlyReadFleetRate/float64(max(1, gateways))))
	if r.at = now; r.left < 1 {
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
	holder := &m.holders[i]
	var pending pendingItems
	for _, state := range tenants {
		if state.cur.sum == 0 && state.prev.period == 0 && !state.readWanted {
			continue
		}
		state.rollPeriod(now, m.period, m.prev)
		if state.prev.period != 0 && read && now-m.periodAt >= periodSettleTime {
			pending.prev = append(pending.prev, state)
		}
		state.resend[i] = (state.resend[i] || holder.resendAll) && state.cur.sum > 0
		if state.cur.sum != state.reported[i] || state.resend[i] || read && (state.cur.sum > state.cur.acked || state.readWanted) && !m.inFlight(now, state, holder) {
			pending.cur = append(pending.cur, state)
		}
	}
	holder.resendAll = false // tenants had all of them
	all := pending.len()
	pending.trim(now, holder, itemLimit(m.gateways))
	out, places = make([]Item, 0, pending.len()), make([]int32, 0, pending.len())
	for k, j := 0, 0; k < len(pending.prev) || j < len(pending.cur); {
		if k < len(pending.prev) && (j == len(pending.cur) || byPlace(pending.prev[k], pending.cur[j]) <= 0) {
			state := pending.prev[k]
			k++
			places = append(places, state.place)
			out = append(out, Item{Tenant: state.tenant, Period: state.prev.period, Sum: state.prev.sum, Unreported: state.prev.sum - state.prev.acked})
			continue
		}
		state := pending.cur[j]
		j++
		places = append(places, state.place)
		out = append(out, Item{Tenant: state.tenant, Period: state.cur.period, Sum: state.cur.sum,
			Unreported: state.cur.sum - min(state.cur.acked, state.reported[i]), Interval: uint64(state.interval / 1e3 / (1 - m.reservedPart(state))),
			Used: m.usedToReport(now, state, i), NearLimit: state.nearLimitAt != 0 && now-state.nearLimitAt < nearLimitWindow})
		if i == m.reader {
			state.reportedAt = now
		}
		if state.resend[i] = false; state.cur.period != 0 {
			state.reported[i] = state.cur.sum
		}
	}
	return out, places, len(out) < all
}

// usedToReport is the usage reported to a holder by a gateway that hasn't learned it from this holder. A
// holder's own level isn't reported back to it: what each gateway adds on top would accumulate.
func (m *Meter) usedToReport(now fsm.Time, state *tenantState, i int) uint64 {
	if i == m.reader && now-m.readerSince >= reportUsedFor {
		return 0
	}
	return state.usedUnits(now)
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
	holder := &m.holders[i]
	if holder.readsCompact = a.ReadsCompact && !unknown; unknown { // the holder lives: it gets a full add with the whole incarnation
		holder.resendAll, m.due = true, true
		if holder.unansweredSince != 0 && a.Timestamp >= holder.unansweredSince {
			holder.unansweredSince, holder.retries = 0, 0
		}
		return nil
	}
	totals := m.unpack(now, i, a)
	for _, t := range totals { // up to now by the state before the answer
		if state := m.tenants[t.Tenant]; state != nil {
			m.refresh(now, state)
		}
	}
	if holder.unansweredSince != 0 && a.Timestamp >= holder.unansweredSince {
		holder.unansweredSince, holder.retries = 0, 0
	}
	holder.rtt.observe(now, now-a.Timestamp)
	holder.missing, holder.sendInterval = a.Missing, a.SendInterval
	m.noteLosses(now)
	if a.HeardOthers {
		m.othersHeardAt = now
	}
	if a.Period > m.period {
		m.prev, m.period, m.periodAt = m.period, a.Period, now
	}
	for _, t := range totals {
		if state := m.tenants[t.Tenant]; state != nil {
			m.applyTotal(now, state, t, a.Timestamp, holder)
		}
	}
	return nil
}

// unpack returns the totals of an answer, and records which roster the holder has.
func (m *Meter) unpack(now fsm.Time, i int, a Answer) []Total {
	holder := &m.holders[i]
	used := holder.rosterHash
	switch {
	case a.Timestamp < holder.prevRosterSince:
		used = 0
	case a.Timestamp < holder.rosterSince:
		used = holder.prevRosterHash
	}
	totals := a.Totals
	if r := m.rosters.byHash(used); r != nil && a.PackedAccepted {
		packed, ok := r.totals(a.Period, a.Packed)
		if !ok {
			return nil
		}
		totals = append(packed, totals...)
	}
	next := holder.rosterHash
	switch {
	case m.rosters.byHash(a.RosterHash) != nil:
		next = a.RosterHash
	// The holder could not use the roster of the add, or named no known one.
	case !a.PackedAccepted && a.Timestamp >= holder.rosterSince:
		next = 0
	}
	if next == holder.rosterHash {
		return totals
	}
	if !a.PackedAccepted && holder.rosterHash != 0 {
		holder.resendAll = true
	}
	holder.rosterHash, holder.prevRosterHash, holder.rosterSince, holder.prevRosterSince = next, holder.rosterHash, now, holder.rosterSince
	return totals
}

func (m *Meter) applyTotal(now fsm.Time, state *tenantState, t Total, timestamp fsm.Time, holder *holderState) {
	m.refresh(now, state)
	state.levelUnknown = !t.LevelKnown && t.Period == state.cur.period
	if t.Period == 0 || t.Period != state.cur.period {
		m.applyPrevTotal(now, state, t)
		if state.readWanted && t.LevelKnown {
			m.requestRead(state) // by the current period
		}
		return
	}
	cur := &state.cur
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
	staleness := holder.unreportedSpan(now, timestamp) // in which others pass units at the tenant's rate
	if m.applyFirstRead(now, state, t, timestamp) {
		state.tat += staleness
	} else if state.levelRead {
		state.addOthers(now, newOthers)
		if fresh && now-timestamp <= holder.rtt.extend(freshAnswer) && m.readerTrusted(now) {
			state.lowerToLevel(now+staleness, float64(t.Level)/milliUnits)
		}
		if t.LevelKnown { // sums only have what was added since the previous answer, which may have been another holder's
			state.raiseToLevel(timestamp, float64(t.Level)/milliUnits-levelRounding)
		}
	}
	m.noteBehind(state, t, timestamp)
	state.noteTraffic(now, newOwn, newOthers)
}

// applyFirstRead sets TAT of an unread tenant by the level that the holder knows, and the units passed here
// that are not in it.
func (m *Meter) applyFirstRead(now fsm.Time, state *tenantState, t Total, timestamp fsm.Time) bool {
	if state.levelRead || !t.LevelKnown || timestamp < state.unreadSince || state.holdersSilent {
		return false
	}
	state.levelRead, state.readWanted = true, false
	state.tat = now
	if over := float64(t.Level)/milliUnits + state.unacked(); over > 0 {
		state.tat += state.duration(over)
	}
	return true
}

// applyPrevTotal takes the last units that others added in the previous period.
func (m *Meter) applyPrevTotal(now fsm.Time, state *tenantState, t Total) {
	prev := &state.prev
	if t.Period == 0 || t.Period != prev.period {
		return
	}
	prev.acked = max(prev.acked, min(t.Own, prev.sum))
	if prev.hasBase && state.levelRead && t.Others > prev.others {
		units := float64(t.Others-prev.others) / milliUnits
		if prev.maxNew > 0 {
			units, prev.maxNew = min(units, prev.maxNew), max(1e-9, prev.maxNew-units)
		}
		state.addOthers(now, units)
	}
	prev.others = max(prev.others, t.Others)
	if now-m.periodAt >= periodSettleTime && prev.acked >= prev.sum {
		state.prev = periodSum{}
	}
}

// ReadOverdue reports whether a holder leaves adds unanswered, so that another route to it should be tried.
// After several round trips an answer is probably lost. A holder that has asked for fewer adds is
// overloaded and drops some; further routes would only bring it more of them.
func (m *Meter) ReadOverdue(now fsm.Time, addr string) bool {
	i := m.holderIndex(addr)
	if i < 0 || !m.holders[i].retryDue(now) {
		return false
	}
	holder := &m.holders[i]
	switch unanswered := now - holder.unansweredSince; {
	case holder.sendInterval > 0:
		return unanswered >= overloadedTimeout
	case holder.far(): // routes through other regions vary by more than those within one
		return unanswered >= holder.rtt.extend(retryGap)+retryGap
	}
	return true
}
