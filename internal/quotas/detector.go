package quotas

import (
	"time"

	"asterwell/internal/fsm"
)

// With more gateways than smallFleet the missing ones are counted once in recountGap.
const (
	smallFleet        = 100
	recountGap        = 10 * time.Millisecond
	probeOverdueAfter = 50 * time.Millisecond  // one tick
	probePerGateway   = 360 * time.Microsecond // for each gateway, between probes: about 2,800 probes a second at most
)

// failureDetector tracks from which gateways a counter gets messages, so that a partition is noticed before
// membership reports it: units passed on the other side are in no sum here. The two holders probe each
// other while they get adds. If the other holder is silent, or a tenant is near its limit, all silent
// gateways are probed.
type failureDetector struct {
	self         string
	gateways     []string
	peers        map[string]peer
	reportedAt   fsm.Time // when a gateway last sent an add with items
	watchAt      fsm.Time // when missing gateways last mattered
	tickAt       fsm.Time
	repeatAt     fsm.Time
	probing      bool // all silent gateways were probed at the last tick
	missingCount uint32
	countedAt    fsm.Time // when missingCount was counted
}

// peer is the state of one gateway. probedAt is the first probe since its last message; 0: none.
type peer struct {
	heardAt, probedAt fsm.Time
	answersProbes     bool
	rtt               roundTrip
}

// worthProbing reports whether to probe a gateway. One that was never heard may have been unreachable since
// before this holder started: it counts as missing until it answers.
func (p peer) worthProbing() bool { return p.answersProbes || p.heardAt == 0 }

// watch starts probing all gateways: a new holder doesn't know which of them are unreachable.
func (d *failureDetector) watch(now fsm.Time) { d.watchAt = now }

// setGateways sets the known gateways, the two holders first.
func (d *failureDetector) setGateways(nodes []string) {
	d.gateways = nodes
	next := make(map[string]peer, len(nodes))
	for _, n := range nodes {
		next[n] = d.peers[n]
	}
	d.peers = next
}

func (d *failureDetector) receive(now fsm.Time, from string, a Add) {
	d.heartbeat(now, from, a.AnswersProbes)
	if p, ok := d.peers[from]; ok && a.ProbeTimestamp > 0 && a.ProbeTimestamp <= now {
		p.rtt.observe(now, now-a.ProbeTimestamp)
		d.peers[from] = p
	}
	if len(a.Items) > 0 && from != d.self {
		d.reportedAt = now
	}
	if a.NearLimit {
		d.watchAt = now
	}
}

func (d *failureDetector) heartbeat(now fsm.Time, from string, signs bool) {
	d.forgiveStall(now)
	if p, ok := d.peers[from]; ok {
		d.peers[from] = peer{heardAt: now, answersProbes: signs, rtt: p.rtt}
	}
}

// otherHolder is the other holder's address, if this process is a holder.
func (d *failureDetector) otherHolder() string {
	switch {
	case len(d.gateways) < 2:
	case d.gateways[0] == d.self:
		return d.gateways[1]
	case d.gateways[1] == d.self:
		return d.gateways[0]
	}
	return ""
}

// forgiveStall drops open probes if this process itself was frozen: then their answers are not overdue.
func (d *failureDetector) forgiveStall(now fsm.Time) {
	if now-d.tickAt <= tickStall {
		return
	}
	for n, p := range d.peers {
		p.probedAt = 0
		d.peers[n] = p
	}
}

func (d *failureDetector) watching(now fsm.Time) bool {
	return d.watchAt != 0 && now-d.watchAt < watchTime
}

// tick returns probes to gateways that are silent.
func (d *failureDetector) tick(now fsm.Time) (out []fsm.Send) {
	d.forgiveStall(now)
	d.tickAt = now
	other, active := d.otherHolder(), d.reportedAt != 0 && now-d.reportedAt < reportedWithin
	if p := d.peers[other]; active && p.probedAt != 0 && now-p.probedAt >= p.rtt.extend(holderProbeTimeout) {
		d.watchAt = now
	}
	watching := d.watching(now)
	if !watching && !d.probing && !(active && other != "") {
		return nil
	}
	d.probing = watching
	repeat := now-d.repeatAt >= d.scaled(probeTimeout)
	for _, n := range d.gateways {
		p := d.peers[n]
		if !watching && !(active && n == other) {
			p.probedAt = 0
			d.peers[n] = p
			continue
		}
		if n == d.self || !p.worthProbing() || now-p.heardAt < d.scaled(probeAfter) || p.probedAt != 0 && !repeat {
			continue
		}
		if p.probedAt == 0 {
			p.probedAt = now
			d.peers[n] = p
		}
		out = append(out, fsm.Send{To: n, Msg: Answer{Probe: true, Timestamp: now}})
	}
	if repeat {
		d.repeatAt = now
	}
	return out
}

// scaled lengthens a gap between probes where there are more than 250 gateways.
func (d *failureDetector) scaled(gap time.Duration) time.Duration {
	return max(gap, time.Duration(len(d.gateways))*probePerGateway)
}

// probeOverdue reports whether a probe of a gateway is unanswered: of a near one since the previous tick,
// of a far one for as long as its answer may take.
func (d *failureDetector) probeOverdue(now fsm.Time, node string) bool {
	p := d.peers[node]
	if p.probedAt == 0 || p.probedAt == now {
		return false
	}
	if p.rtt.excess(probeOverdueAfter) > 0 {
		return now-p.probedAt >= p.rtt.extend(probeOverdueAfter)
	}
	return true
}

// missing is the number of gateways that don't answer probes.
func (d *failureDetector) missing(now fsm.Time) (n uint32) {
	if !d.watching(now) {
		return 0
	}
	if len(d.peers) > smallFleet && now-d.countedAt < recountGap && d.countedAt != 0 { // each answer needs the count
		return d.missingCount
	}
	defer func() { d.missingCount, d.countedAt = n, now }()
	for _, p := range d.peers {
		if p.worthProbing() && p.probedAt != 0 && now-p.probedAt >= p.rtt.extend(probeTimeout) {
			n++
		}
	}
	return n
}
