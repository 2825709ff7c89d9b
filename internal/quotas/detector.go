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
func (v peer) worthProbing() bool { return v.answersProbes || v.heardAt == 0 }

// watch starts probing all gateways: a new holder doesn't know which of them are unreachable.
func (s *failureDetector) watch(now fsm.Time) { s.watchAt = now }

// setGateways sets the known gateways, the two holders first.
func (s *failureDetector) setGateways(nodes []string) {
	s.gateways = nodes
	next := make(map[string]peer, len(nodes))
	for _, n := range nodes {
		next[n] = s.peers[n]
	}
	s.peers = next
}

func (s *failureDetector) receive(now fsm.Time, from string, a Add) {
	s.heartbeat(now, from, a.AnswersProbes)
	if v, ok := s.peers[from]; ok && a.ProbeTimestamp > 0 && a.ProbeTimestamp <= now {
		v.rtt.observe(now, now-a.ProbeTimestamp)
		s.peers[from] = v
	}
	if len(a.Items) > 0 && from != s.self {
		s.reportedAt = now
	}
	if a.NearLimit {
		s.watchAt = now
	}
}

func (s *failureDetector) heartbeat(now fsm.Time, from string, signs bool) {
	s.forgiveStall(now)
	if v, ok := s.peers[from]; ok {
		s.peers[from] = peer{heardAt: now, answersProbes: signs, rtt: v.rtt}
	}
}

// otherHolder is the other holder's address, if this process is a holder.
func (s *failureDetector) otherHolder() string {
	switch {
	case len(s.gateways) < 2:
	case s.gateways[0] == s.self:
		return s.gateways[1]
	case s.gateways[1] == s.self:
		return s.gateways[0]
	}
	return ""
}

// forgiveStall drops open probes if this process itself was frozen: then their answers are not overdue.
func (s *failureDetector) forgiveStall(now fsm.Time) {
	if now-s.tickAt <= tickStall {
		return
	}
	for n, v := range s.peers {
		v.probedAt = 0
		s.peers[n] = v
	}
}

func (s *failureDetector) watching(now fsm.Time) bool {
	return s.watchAt != 0 && now-s.watchAt < watchTime
}

// tick returns probes to gateways that are silent.
func (s *failureDetector) tick(now fsm.Time) (out []fsm.Send) {
	s.forgiveStall(now)
	s.tickAt = now
	other, active := s.otherHolder(), s.reportedAt != 0 && now-s.reportedAt < reportedWithin
	if p := s.peers[other]; active && p.probedAt != 0 && now-p.probedAt >= p.rtt.extend(holderProbeTimeout) {
		s.watchAt = now
	}
	watching := s.watching(now)
	if !watching && !s.probing && !(active && other != "") {
		return nil
	}
	s.probing = watching
	repeat := now-s.repeatAt >= s.scaled(probeTimeout)
	for _, n := range s.gateways {
		p := s.peers[n]
		if !watching && !(active && n == other) {
			p.probedAt = 0
			s.peers[n] = p
			continue
		}
		if n == s.self || !p.worthProbing() || now-p.heardAt < s.scaled(probeAfter) || p.probedAt != 0 && !repeat {
			continue
		}
		if p.probedAt == 0 {
			p.probedAt = now
			s.peers[n] = p
		}
		out = append(out, fsm.Send{To: n, Msg: Answer{Probe: true, Timestamp: now}})
	}
	if repeat {
		s.repeatAt = now
	}
	return out
}

// scaled lengthens a gap between probes where there are more than 250 gateways.
func (s *failureDetector) scaled(gap time.Duration) time.Duration {
	return max(gap, time.Duration(len(s.gateways))*probePerGateway)
}

// probeOverdue reports whether a probe of a gateway is unanswered: of a near one since the previous tick,
// of a far one for as long as its answer may take.
func (s *failureDetector) probeOverdue(now fsm.Time, node string) bool {
	v := s.peers[node]
	if v.probedAt == 0 || v.probedAt == now {
		return false
	}
	if v.rtt.excess(probeOverdueAfter) > 0 {
		return now-v.probedAt >= v.rtt.extend(probeOverdueAfter)
	}
	return true
}

// missing is the number of gateways that don't answer probes.
func (s *failureDetector) missing(now fsm.Time) (n uint32) {
	if !s.watching(now) {
		return 0
	}
	if len(s.peers) > smallFleet && now-s.countedAt < recountGap && s.countedAt != 0 { // each answer needs the count
		return s.missingCount
	}
	defer func() { s.missingCount, s.countedAt = n, now }()
	for _, v := range s.peers {
		if v.worthProbing() && v.probedAt != 0 && now-v.probedAt >= v.rtt.extend(probeTimeout) {
			n++
		}
	}
	return n
}
