package consensus

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"
)

// A disk that is put back to an older state forgets what was vouched for on it since, and its
// life is the same. So whatever a member vouches for carries a fencing token, others remember
// the newest one of each seat and say so in their promises, and a member that shows less than
// it once vouched for is fenced: it draws a new life and joins like one whose disk is empty.

// Token is how far a disk has got. A process can't reach by saves of its own what another one
// vouched for on the same disk: what counts is what it found there.
type Token struct {
	Saves        uint64 `cbor:"1,keyasint,omitempty"` // saves that are on the disk
	SavesAtStart uint64 `cbor:"2,keyasint,omitempty"` // those that the process found when it started
	RunID        uint64 `cbor:"3,keyasint,omitempty"` // names the process; 0: one that knows no tokens
}

// Mark is the newest token that a seat is known to have vouched for.
type KnownToken struct {
	Addr   string `cbor:"1,keyasint"`
	DiskID uint64 `cbor:"2,keyasint"`
	Saves  uint64 `cbor:"3,keyasint"`
	RunID  uint64 `cbor:"4,keyasint"`
}

// Fenced tells a member that its life has vouched for more than its disk has.
type FenceNotice struct {
	Token KnownToken `cbor:"1,keyasint"`
}

// noteAfter is how long marks wait for a save that takes them along, before one is made for
// them: never in a row of changes, once after it. Nothing waits for it.
const noteAfter = 300 * time.Millisecond

func (m *Machine) token() Token { return Token{Saves: m.safe, SavesAtStart: m.base, RunID: m.salt} }

// lacks says whether a process's disk was without what the mark tells when it started.
func (k KnownToken) lacks(t Token) bool {
	return k.RunID != 0 && t.RunID != 0 && t.RunID != k.RunID && t.SavesAtStart < k.Saves
}

// stamped gives a message that a memory stands behind the token of what is synced now.
func (m *Machine) stamped(msg any) any {
	switch t := msg.(type) {
	case Prepare:
		t.Token = m.token()
		return t
	case Promise:
		t.Token, t.KnownTokens = m.token(), m.marks(m.d.Record)
		return t
	case StateInstalled:
		t.Token = m.token()
		return t
	case EpochRecorded:
		t.Token = m.token()
		return t
	case Appended:
		t.Token = m.token()
		return t
	case Confirmed:
		t.Token = m.token()
		return t
	case HeartbeatReply:
		t.Token, t.TokensHash = m.token(), m.sum(m.d.Record)
		return t
	}
	return msg
}

// vouch is the memory that a message speaks for, and how far it has got.
func vouch(msg any) (life uint64, t Token, ok bool) {
	switch t := msg.(type) {
	case Prepare:
		return t.Ballot.DiskID, t.Token, true
	case Promise:
		return t.DiskID, t.Token, true
	case StateInstalled:
		return t.DiskID, t.Token, true
	case EpochRecorded:
		return t.DiskID, t.Token, true
	case Appended:
		return t.DiskID, t.Token, true
	case Confirmed:
		return t.DiskID, t.Token, true
	case HeartbeatReply:
		return t.DiskID, t.Token, true
	}
	return 0, Token{}, false
}

// believes notes what a message vouches for, or fences its sender, and then it doesn't count.
// One that came late from a process before is taken for that as well: it is sent again.
func (m *Machine) believes(from string, msg any) bool {
	life, t, ok := vouch(msg)
	if !ok || from == m.c.Self || t.RunID == 0 {
		return true
	}
	k := KnownToken{from, life, t.Saves, t.RunID}
	if old, ok := m.mark(from, life); ok && old.lacks(t) && m.bug != BugNoFencing {
		m.send(from, FenceNotice{old})
		return false
	}
	m.note(k)
	return true
}

func (m *Machine) mark(addr string, life uint64) (KnownToken, bool) {
	i := slices.IndexFunc(m.d.KnownTokens, func(k KnownToken) bool { return k.Addr == addr && k.DiskID == life })
	if i < 0 {
		return KnownToken{}, false
	}
	return m.d.KnownTokens[i], true
}

// note keeps the newest mark of each seat, and of seats only: there are no more than those.
func (m *Machine) note(k KnownToken) {
	if k.Addr == m.c.Self || k.RunID == 0 {
		return
	}
	seats := m.d.Record.voters()
	old, ok := m.mark(k.Addr, k.DiskID)
	if !has(seats, k.Addr, k.DiskID) || ok && old.Saves >= k.Saves && (old.RunID == k.RunID || old.Saves > k.Saves) {
		return
	}
	marks := slices.DeleteFunc(slices.Clone(m.d.KnownTokens), func(o KnownToken) bool {
		return o.Addr == k.Addr && o.DiskID == k.DiskID || !has(seats, o.Addr, o.DiskID)
	})
	marks = append(marks, k)
	slices.SortFunc(marks, func(a, b KnownToken) int { return cmp.Or(cmp.Compare(a.Addr, b.Addr), cmp.Compare(a.DiskID, b.DiskID)) })
	m.d.KnownTokens = marks
	if m.noted == 0 {
		m.noted = m.now
	}
}

// merge takes what others remember: of this member, and of those whose promises it counts.
func (m *Machine) merge(marks []KnownToken) {
	for _, k := range marks {
		if k.Addr == m.c.Self {
			m.onFenced(FenceNotice{k})
			continue
		}
		m.note(k)
	}
	if m.bid == nil || m.bug == BugNoFencing {
		return
	}
	for _, k := range m.d.KnownTokens {
		if p, ok := m.bid.promises[k.Addr]; ok && p.DiskID == k.DiskID && k.lacks(p.Token) {
			delete(m.bid.promises, k.Addr)
			m.bid.enough = 0
			m.send(k.Addr, FenceNotice{k})
		}
	}
}

// onFenced makes a newcomer of a member whose disk is older than what it vouched for. What is
// committed stays so, and is kept.
func (m *Machine) onFenced(t FenceNotice) {
	if t.Token.Addr != m.c.Self || t.Token.DiskID != m.d.DiskID || !t.Token.lacks(m.token()) || m.bug == BugNoFencing {
		return
	}
	m.d = DurableState{DiskID: m.rng.Uint64() | 1, Committed: m.d.Committed}
	m.lead, m.bid, m.held, m.fresh, m.loop = nil, nil, nil, nil, nil
	m.base, m.safe, m.noted, m.dirty = 0, 0, 0, true
	m.hello = m.now - 2*helloEvery
	m.fenced, m.out.Fenced = m.fenced+1, true
}

// marks are those of an epoch's seats, this member's own among them.
func (m *Machine) marks(r EpochRecord) []KnownToken {
	var all []KnownToken
	for _, s := range r.Members {
		if s.is(m.c.Self, m.d.DiskID) {
			all = append(all, KnownToken{s.Addr, s.DiskID, m.safe, m.salt})
		} else if k, ok := m.mark(s.Addr, s.DiskID); ok {
			all = append(all, k)
		}
	}
	return all
}

// sum is the same where the marks are, so that a beat need not bring them.
func (m *Machine) sum(r EpochRecord) uint32 {
	h := fnv.New32a()
	var b []byte
	for _, k := range m.marks(r) {
		b = append(b[:0], k.Addr...)
		for _, n := range []uint64{k.DiskID, k.Saves, k.RunID} {
			b = binary.BigEndian.AppendUint64(b, n)
		}
		h.Write(b)
	}
	return h.Sum32() | 1
}

// settleMarks has marks written that no save has taken along.
func (m *Machine) settleMarks() {
	if m.noted != 0 && m.now-m.noted >= noteAfter && len(m.writes) == 0 {
		m.flush = true
	}
}

// saved notes that a save is on disk.
func (m *Machine) saved(w pendingWrite) {
	if w.life == m.d.DiskID {
		m.safe = max(m.safe, w.count)
	}
}

// Fences is how often this process was told that its disk is older than what it vouched for.
func (m *Machine) FenceCount() int { return m.fenced }
