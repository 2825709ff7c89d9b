package quotas

import (
	"time"

	"asterwell/internal/fsm"
)

// Among more gateways than few it is counted once in countGap who is missing.
const (
	few      = 100
	countGap = 10 * time.Millisecond
	blindGap = 50 * time.Millisecond  // from tick to tick
	askEach  = 360 * time.Microsecond // for each gateway, between questions: some 2,800 of them a second at the most
)

// sights is which gateways a counter hears, so that a cut is known before the members
// are told of it: what is passed on the other side is in no sum here. The two holders
// ask each other for signs of life while they are told anything. Where that one is
// silent, or a tenant is near its limit, all that are silent are asked.
type sights struct {
	self     string
	nodes    []string
	seen     map[string]sight
	usedAt   fsm.Time // a gateway last told this counter what it has passed
	watchAt  fsm.Time // it last mattered who is out of sight
	tickAt   fsm.Time
	repeatAt fsm.Time
	asking   bool // all were, at the last tick
	missed   uint32
	missedAt fsm.Time // when that was counted
}

// sight is of one gateway. asked is the first time since the last sign; 0: not asked.
type sight struct {
	heard, asked fsm.Time
	signs        bool // it answers
	way          roundTrip
}

// answers says that a question is worth asking. Who was never heard here may be out of reach since before this holder
// began: it counts as missing until it has shown that it is not.
func (v sight) answers() bool { return v.signs || v.heard == 0 }

// begin looks for all at once: a holder that is new knows of nobody who is out of reach.
func (s *sights) begin(now fsm.Time) { s.watchAt = now }

// names takes the gateways there are, the two holders first.
func (s *sights) names(nodes []string) {
	s.nodes = nodes
	next := make(map[string]sight, len(nodes))
	for _, n := range nodes {
		next[n] = s.seen[n]
	}
	s.seen = next
}

func (s *sights) hear(now fsm.Time, from string, a Add) {
	s.sign(now, from, a.AnswersProbes)
	if v, ok := s.seen[from]; ok && a.ProbeTimestamp > 0 && a.ProbeTimestamp <= now {
		v.way.note(now, now-a.ProbeTimestamp)
		s.seen[from] = v
	}
	if len(a.Items) > 0 && from != s.self {
		s.usedAt = now
	}
	if a.NearLimit {
		s.watchAt = now
	}
}

func (s *sights) sign(now fsm.Time, from string, signs bool) {
	s.stood(now)
	if v, ok := s.seen[from]; ok {
		s.seen[from] = sight{heard: now, signs: signs, way: v.way}
	}
}

// fellow is the other holder, if this process is one.
func (s *sights) fellow() string {
	switch {
	case len(s.nodes) < 2:
	case s.nodes[0] == s.self:
		return s.nodes[1]
	case s.nodes[1] == s.self:
		return s.nodes[0]
	}
	return ""
}

// stood: where it was this process that stood still, nobody has failed to answer.
func (s *sights) stood(now fsm.Time) {
	if now-s.tickAt <= lateGap {
		return
	}
	for n, v := range s.seen {
		v.asked = 0
		s.seen[n] = v
	}
}

func (s *sights) watching(now fsm.Time) bool { return s.watchAt != 0 && now-s.watchAt < watchGap }

// tick asks those that are silent.
func (s *sights) tick(now fsm.Time) (out []fsm.Send) {
	s.stood(now)
	s.tickAt = now
	fellow, used := s.fellow(), s.usedAt != 0 && now-s.usedAt < usedGap
	if v := s.seen[fellow]; used && v.asked != 0 && now-v.asked >= v.way.stretch(tornGap) {
		s.watchAt = now
	}
	watching := s.watching(now)
	if !watching && !s.asking && !(used && fellow != "") {
		return nil
	}
	s.asking = watching
	again := now-s.repeatAt >= s.each(lostGap)
	for _, n := range s.nodes {
		v := s.seen[n]
		if !watching && !(used && n == fellow) {
			v.asked = 0
			s.seen[n] = v
			continue
		}
		if n == s.self || !v.answers() || now-v.heard < s.each(askGap) || v.asked != 0 && !again {
			continue
		}
		if v.asked == 0 {
			v.asked = now
			s.seen[n] = v
		}
		out = append(out, fsm.Send{To: n, Msg: Answer{Probe: true, Timestamp: now}})
	}
	if again {
		s.repeatAt = now
	}
	return out
}

// each is a gap between questions, longer where there are more than 250 gateways to be asked.
func (s *sights) each(gap time.Duration) time.Duration {
	return max(gap, time.Duration(len(s.nodes))*askEach)
}

// blind says that a gateway was asked before and hasn't answered: one near by at the tick before, one that is far for
// as long as its answer may take.
func (s *sights) blind(now fsm.Time, node string) bool {
	v := s.seen[node]
	if v.asked == 0 || v.asked == now {
		return false
	}
	if v.way.beyond(blindGap) > 0 {
		return now-v.asked >= v.way.stretch(blindGap)
	}
	return true
}

// missing is how many gateways are out of sight.
func (s *sights) missing(now fsm.Time) (n uint32) {
	if !s.watching(now) {
		return 0
	}
	if len(s.seen) > few && now-s.missedAt < countGap && s.missedAt != 0 { // it is asked for with each answer
		return s.missed
	}
	defer func() { s.missed, s.missedAt = n, now }()
	for _, v := range s.seen {
		if v.answers() && v.asked != 0 && now-v.asked >= v.way.stretch(lostGap) {
			n++
		}
	}
	return n
}
