package consensus

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"
)

// A disk that is restored to an older state, by a snapshot or a backup, has lost writes that its
// process has vouched for, and its disk ID is the same. So a member sends a fencing token with all
// that it vouches for. Others remember the newest token of each member and pass them on in their
// promises. A member whose token is behind one that it sent before is fenced: it draws a new disk
// ID and joins like a process with an empty disk.

// Token tells how far a disk has got. Later saves of a process can't make up for those that another
// process made on the same disk, so SavesAtStart decides.
type Token struct {
	Saves        uint64 `cbor:"1,keyasint,omitempty"` // saves that are on the disk
	SavesAtStart uint64 `cbor:"2,keyasint,omitempty"` // saves that the process found on the disk when it started
	RunID        uint64 `cbor:"3,keyasint,omitempty"` // identifies the run of the process; 0: a release without tokens
}

// KnownToken is the newest token that a member is known to have sent.
type KnownToken struct {
	Addr   string `cbor:"1,keyasint"`
	DiskID uint64 `cbor:"2,keyasint"`
	Saves  uint64 `cbor:"3,keyasint"`
	RunID  uint64 `cbor:"4,keyasint"`
}

// FenceNotice tells a member that it has vouched for more than its disk holds.
type FenceNotice struct {
	Token KnownToken `cbor:"1,keyasint"`
}

// tokenFlushDelay is how long new tokens wait for a save that includes them before one is made for
// them: not during a series of changes, but once after it. Nothing waits for that save.
const tokenFlushDelay = 300 * time.Millisecond

func (m *Machine) ownToken() Token {
	return Token{Saves: m.savesSynced, SavesAtStart: m.savesAtStart, RunID: m.runID}
}

// provesRollback reports whether a process started on a disk without saves that k vouches for.
func (k KnownToken) provesRollback(t Token) bool {
	return k.RunID != 0 && t.RunID != 0 && t.RunID != k.RunID && t.SavesAtStart < k.Saves
}

// withToken adds the token of what is synced to a message that vouches for this member.
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

// senderToken returns the disk ID and the token of a message that vouches for its sender.
func senderToken(msg any) (diskID uint64, t Token, ok bool) {
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

// acceptsToken notes the token of a message. It returns false, and fences the sender, if the token
// proves a rollback. A late message from an earlier run looks the same; its request will be
// repeated.
func (m *Machine) acceptsToken(from string, msg any) bool {
	diskID, t, ok := senderToken(msg)
	if !ok || from == m.config.Self || t.RunID == 0 {
		return true
	}
	k := KnownToken{from, diskID, t.Saves, t.RunID}
	if old, ok := m.knownToken(from, diskID); ok && old.provesRollback(t) && m.bug != BugNoFencing {
		m.send(from, FenceNotice{old})
		return false
	}
	m.noteToken(k)
	return true
}

func (m *Machine) knownToken(addr string, diskID uint64) (KnownToken, bool) {
	i := slices.IndexFunc(m.state.KnownTokens, func(k KnownToken) bool { return k.Addr == addr && k.DiskID == diskID })
	if i < 0 {
		return KnownToken{}, false
	}
	return m.state.KnownTokens[i], true
}

// noteToken keeps the newest token of each member. Tokens of others are not kept, which limits
// their number.
func (m *Machine) noteToken(k KnownToken) {
	if k.Addr == m.config.Self || k.RunID == 0 {
		return
	}
	members := m.state.Record.votingMembers()
	old, ok := m.knownToken(k.Addr, k.DiskID)
	if !hasMember(members, k.Addr, k.DiskID) ||
		ok && old.Saves >= k.Saves && (old.RunID == k.RunID || old.Saves > k.Saves) {
		return
	}
	tokens := slices.DeleteFunc(slices.Clone(m.state.KnownTokens), func(o KnownToken) bool {
		return o.Addr == k.Addr && o.DiskID == k.DiskID || !hasMember(members, o.Addr, o.DiskID)
	})
	tokens = append(tokens, k)
	slices.SortFunc(tokens, func(a, b KnownToken) int {
		return cmp.Or(cmp.Compare(a.Addr, b.Addr), cmp.Compare(a.DiskID, b.DiskID))
	})
	m.state.KnownTokens = tokens
	if m.tokensNotedAt == 0 {
		m.tokensNotedAt = m.now
	}
}

// mergeTokens takes the tokens that another member knows, of this member and of those whose
// promises it has counted.
func (m *Machine) mergeTokens(tokens []KnownToken) {
	for _, k := range tokens {
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

// onFenceNotice makes a member with a disk older than its token a new one. The committed document
// is kept, as it remains committed.
func (m *Machine) onFenceNotice(t FenceNotice) {
	if t.Token.Addr != m.config.Self || t.Token.DiskID != m.state.DiskID || !t.Token.provesRollback(m.ownToken()) ||
		m.bug == BugNoFencing {
		return
	}
	m.state = DurableState{DiskID: m.rng.Uint64() | 1, Committed: m.state.Committed}
	m.primary, m.candidate, m.deferred, m.afterSave, m.selfSends = nil, nil, nil, nil, nil
	m.savesAtStart, m.savesSynced, m.tokensNotedAt, m.dirty = 0, 0, 0, true
	m.joinSentAt = m.now - 2*joinInterval
	m.fenceCount, m.out.Fenced = m.fenceCount+1, true
}

// memberTokens returns the tokens of an epoch's members, with this process's own.
func (m *Machine) memberTokens(r EpochRecord) []KnownToken {
	var tokens []KnownToken
	for _, s := range r.Members {
		if s.matches(m.config.Self, m.state.DiskID) {
			tokens = append(tokens, KnownToken{s.Addr, s.DiskID, m.savesSynced, m.runID})
		} else if k, ok := m.knownToken(s.Addr, s.DiskID); ok {
			tokens = append(tokens, k)
		}
	}
	return tokens
}

// tokensHash is equal where the tokens are, so that a heartbeat need not carry them.
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

// flushTokensWhenDue writes tokens that no save has included.
func (m *Machine) flushTokensWhenDue() {
	if m.tokensNotedAt != 0 && m.now-m.tokensNotedAt >= tokenFlushDelay && len(m.pendingWrites) == 0 {
		m.flushTokens = true
	}
}

// noteSaved notes that a save is on disk.
func (m *Machine) noteSaved(w pendingWrite) {
	if w.diskID == m.state.DiskID {
		m.savesSynced = max(m.savesSynced, w.count)
	}
}

// FenceCount returns how often this process was told that its disk is older than its token.
func (m *Machine) FenceCount() int { return m.fenceCount }
