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
const tokenFlushDelay = 300 * time.Millisecond

func (m *Machine) ownToken() Token {
	return Token{Saves: m.savesSynced, SavesAtStart: m.savesAtStart, RunID: m.runID}
}

// lacks says whether a process's disk was without what the mark tells when it started.
func (k KnownToken) provesRollback(t Token) bool {
	return k.RunID != 0 && t.RunID != 0 && t.RunID != k.RunID && t.SavesAtStart < k.Saves
}

// stamped gives a message that a memory stands behind the token of what is synced now.
func (m *Machine) withToken(msg any) any {
	switch t := msg.(type) {
	case Prepare:
		t.Token = m.ownToken()
		return t
	case Promise:
		t.Token, t.KnownTokens = m.ownToken(), m.memberTokens(m.state.Record)
		return t
	case StateInstalled:
		t.Token = m.ownToken()
		return t
	case EpochRecorded:
		t.Token = m.ownToken()
		return t
	case Appended:
		t.Token = m.ownToken()
		return t
	case Confirmed:
		t.Token = m.ownToken()
		return t
	case HeartbeatReply:
		t.Token, t.TokensHash = m.ownToken(), m.tokensHash(m.state.Record)
		return t
	}
	return msg
}

// vouch is the memory that a message speaks for, and how far it has got.
func senderToken(msg any) (life uint64, t Token, ok bool) {
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
func (m *Machine) acceptsToken(from string, msg any) bool {
	life, t, ok := senderToken(msg)
	if !ok || from == m.config.Self || t.RunID == 0 {
		return true
	}
	k := KnownToken{from, life, t.Saves, t.RunID}
	if old, ok := m.knownToken(from, life); ok && old.provesRollback(t) && m.bug != BugNoFencing {
		m.send(from, FenceNotice{old})
		return false
	}
	m.noteToken(k)
	return true
}

func (m *Machine) knownToken(addr string, life uint64) (KnownToken, bool) {
	i := slices.IndexFunc(m.state.KnownTokens, func(k KnownToken) bool { return k.Addr == addr && k.DiskID == life })
	if i < 0 {
		return KnownToken{}, false
	}
	return m.state.KnownTokens[i], true
}

// note keeps the newest mark of each seat, and of seats only: there are no more than those.
func (m *Machine) noteToken(k KnownToken) {
	if k.Addr == m.config.Self || k.RunID == 0 {
		return
	}
	seats := m.state.Record.votingMembers()
	old, ok := m.knownToken(k.Addr, k.DiskID)
	if !hasMember(seats, k.Addr, k.DiskID) || ok && old.Saves >= k.Saves && (old.RunID == k.RunID || old.Saves > k.Saves) {
		return
	}
	marks := slices.DeleteFunc(slices.Clone(m.state.KnownTokens), func(o KnownToken) bool {
		return o.Addr == k.Addr && o.DiskID == k.DiskID || !hasMember(seats, o.Addr, o.DiskID)
	})
	marks = append(marks, k)
	slices.SortFunc(marks, func(a, b KnownToken) int { return cmp.Or(cmp.Compare(a.Addr, b.Addr), cmp.Compare(a.DiskID, b.DiskID)) })
	m.state.KnownTokens = marks
	if m.tokensNotedAt == 0 {
		m.tokensNotedAt = m.now
	}
}

// merge takes what others remember: of this member, and of those whose promises it counts.
func (m *Machine) mergeTokens(marks []KnownToken) {
	for _, k := range marks {
		if k.Addr == m.config.Self {
			m.onFenceNotice(FenceNotice{k})
			continue
		}
		m.noteToken(k)
	}
	if m.candidate == nil || m.bug == BugNoFencing {
		return
	}
	for _, k := range m.state.KnownTokens {
		if p, ok := m.candidate.promises[k.Addr]; ok && p.DiskID == k.DiskID && k.provesRollback(p.Token) {
			delete(m.candidate.promises, k.Addr)
			m.candidate.quorumAt = 0
			m.send(k.Addr, FenceNotice{k})
		}
	}
}

// onFenced makes a newcomer of a member whose disk is older than what it vouched for. What is
// committed stays so, and is kept.
func (m *Machine) onFenceNotice(t FenceNotice) {
	if t.Token.Addr != m.config.Self || t.Token.DiskID != m.state.DiskID || !t.Token.provesRollback(m.ownToken()) || m.bug == BugNoFencing {
		return
	}
	m.state = DurableState{DiskID: m.rng.Uint64() | 1, Committed: m.state.Committed}
	m.primary, m.candidate, m.deferred, m.afterSave, m.selfSends = nil, nil, nil, nil, nil
	m.savesAtStart, m.savesSynced, m.tokensNotedAt, m.dirty = 0, 0, 0, true
	m.joinSentAt = m.now - 2*joinInterval
	m.fenceCount, m.out.Fenced = m.fenceCount+1, true
}

// marks are those of an epoch's seats, this member's own among them.
func (m *Machine) memberTokens(r EpochRecord) []KnownToken {
	var all []KnownToken
	for _, s := range r.Members {
		if s.matches(m.config.Self, m.state.DiskID) {
			all = append(all, KnownToken{s.Addr, s.DiskID, m.savesSynced, m.runID})
		} else if k, ok := m.knownToken(s.Addr, s.DiskID); ok {
			all = append(all, k)
		}
	}
	return all
}

// sum is the same where the marks are, so that a beat need not bring them.
func (m *Machine) tokensHash(r EpochRecord) uint32 {
	h := fnv.New32a()
	var b []byte
	for _, k := range m.memberTokens(r) {
		b = append(b[:0], k.Addr...)
		for _, n := range []uint64{k.DiskID, k.Saves, k.RunID} {
			b = binary.BigEndian.AppendUint64(b, n)
		}
		h.Write(b)
	}
	return h.Sum32() | 1
}

// settleMarks has marks written that no save has taken along.
func (m *Machine) flushTokensWhenDue() {
	if m.tokensNotedAt != 0 && m.now-m.tokensNotedAt >= tokenFlushDelay && len(m.pendingWrites) == 0 {
		m.flushTokens = true
	}
}

// saved notes that a save is on disk.
func (m *Machine) noteSaved(w pendingWrite) {
	if w.life == m.state.DiskID {
		m.savesSynced = max(m.savesSynced, w.count)
	}
}

// Fences is how often this process was told that its disk is older than what it vouched for.
func (m *Machine) FenceCount() int { return m.fenceCount }
