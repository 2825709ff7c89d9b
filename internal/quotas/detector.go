package quotas

import (
	"time"

	"asterwell/internal/fsm"
)

// Among more gateways than few it is counted once in countGap who is missing.
const (
	smallFleet        = 100
	recountGap        = 10 * time.Millisecond
	probeOverdueAfter = 50 * time.Millisecond  // from tick to tick
	probePerGateway   = 360 * time.Microsecond // for each gateway, between questions: some 2,800 of them a second at the most
)

// failureDetector is which gateways a counter hears, so that a cut is known before the members
// are told of it: what is passed on the other side is in no sum here. The two holders
// ask each other for signs of life while they are told anything. Where that one is
// silent, or a tenant is near its limit, all that are silent are asked.
type failureDetector struct {
	self         string
	gateways     []string
	peers        map[string]peer
	reportedAt   fsm.Time // a gateway last told this counter what it has passed
	watchAt      fsm.Time // it last mattered who is out of sight
	tickAt       fsm.Time
	repeatAt     fsm.Time
	probing      bool // all were, at the last tick
	missingCount uint32
	countedAt    fsm.Time // when that was counted
}

// peer is of one gateway. asked is the first time since the last sign; 0: not asked.
type peer struct {
	heardAt, probedAt fsm.Time
	answersProbes     bool // it answers
	rtt               roundTrip
}

// worthProbing says that a question is worth asking. Who was never heard here may be out of reach since before this holder
// began: it counts as missing until it has shown that it is not.
func (v peer) worthProbing() bool { return v.answersProbes || v.heardAt == 0 }

// watch looks for all at once: a holder that is new knows of nobody who is out of reach.
func (s *failureDetector) watch(now fsm.Time) { s.watchAt = now }

// setGateways takes the gateways there are, the two holders first.
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

// otherHolder is the other holder, if this process is one.
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

// forgiveStall: where it was this process that stood still, nobody has failed to answer.
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

// tick asks those that are silent.
func (s *failureDetector) tick(now fsm.Time) (out []fsm.Send) {
	s.forgiveStall(now)
	s.tickAt = now
	fellow, used := s.otherHolder(), s.reportedAt != 0 && now-s.reportedAt < reportedWithin
	if v := s.peers[fellow]; used && v.probedAt != 0 && now-v.probedAt >= v.rtt.extend(holderProbeTimeout) {
		s.watchAt = now
	}
	watching := s.watching(now)
	if !watching && !s.probing && !(used && fellow != "") {
		return nil
	}
	s.probing = watching
	again := now-s.repeatAt >= s.scaled(probeTimeout)
	for _, n := range s.gateways {
		v := s.peers[n]
		if !watching && !(used && n == fellow) {
			v.probedAt = 0
			s.peers[n] = v
			continue
		}
		if n == s.self || !v.worthProbing() || now-v.heardAt < s.scaled(probeAfter) || v.probedAt != 0 && !again {
			continue
		}
		if v.probedAt == 0 {
			v.probedAt = now
			s.peers[n] = v
		}
		out = append(out, fsm.Send{To: n, Msg: Answer{Probe: true, Timestamp: now}})
	}
	if again {
		s.repeatAt = now
	}
	return out
}

// scaled is a gap between questions, longer where there are more than 250 gateways to be asked.
func (s *failureDetector) scaled(gap time.Duration) time.Duration {
	return max(gap, time.Duration(len(s.gateways))*probePerGateway)
}

// probeOverdue says that a gateway was asked before and hasn't answered: one near by at the tick before, one that is far for
// as long as its answer may take.
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

// missing is how many gateways are out of sight.
func (s *failureDetector) missing(now fsm.Time) (n uint32) {
	if !s.watching(now) {
		return 0
	}
	if len(s.peers) > smallFleet && now-s.countedAt < recountGap && s.countedAt != 0 { // it is asked for with each answer
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
