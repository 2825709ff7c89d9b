package policy

import "time"

// Lease allows a gateway to decide requests by Version until Until on its own clock.
// A gateway reads the lease first and its clock afterwards, once the request has
// arrived, so a process that was paused never decides by an expired lease.
type Lease struct {
	Version int64
	Until   time.Duration
}

// Holder is the gateway's side of the protocol: it requests leases and tracks the one it has.
type Holder struct {
	terms        Terms
	name         string
	zone         string
	digest       string
	format       int
	version      int64 // the version this gateway has; -1: none
	seq          uint64
	lastCallAt   time.Duration     // when the last renewal was sent
	sentAt       [16]time.Duration // send times of the latest renewals, indexed by sequence number modulo the length
	minSeq       uint64            // grants for earlier sequence numbers are ignored
	awaitsAnswer bool              // the last renewal is unanswered
	urgent       bool
	missed       int // consecutive renewals without an answer
	checked      uint64
	refusal      string
	checkedText  []byte // the change's text that was checked last
	heldRound    uint64
	heldAt       time.Duration
	fenced       string
	lease        Lease
}

// NewHolder returns a holder without a version. The gateway's own file doesn't count
// as one, since only the voters know which version is in force. digest is the digest of
// that file.
func NewHolder(terms Terms, name, zone, digest string) *Holder {
	return &Holder{terms: terms, name: name, zone: zone, digest: digest, format: Format, version: -1, urgent: true, lastCallAt: -terms.Renew}
}

// GrantResult is what the gateway has to do after a grant.
type GrantResult struct {
	Adopt  bool // Grant.Text is the policy in force: adopt it before using the lease
	Check  bool // report through Checked whether Grant.Next is acceptable
	Grant  Grant
	Leased Lease // the lease from now on; zero: none
}

// Tick returns the renewal to send now, or nil if none is due.
func (h *Holder) Tick(now time.Duration) *Renew {
	wait := h.terms.Renew
	if h.awaitsAnswer {
		wait = h.terms.Renew / 2 // the renewal may be lost, or the leader down
	}
	if !h.urgent && now-h.lastCallAt < wait {
		return nil
	}
	if h.awaitsAnswer && now-h.lastCallAt >= h.terms.Renew/2 {
		h.missed++
	}
	h.seq++
	h.lastCallAt, h.awaitsAnswer, h.urgent = now, true, false
	h.sentAt[h.seq%uint64(len(h.sentAt))] = now
	return &Renew{Seq: h.seq, Name: h.name, Zone: h.zone, Version: h.version, Checked: h.checked, Refusal: h.refusal,
		Held: h.heldRound, Digest: h.digest, Format: h.format}
}

// Wait returns the time until the next renewal is due.
func (h *Holder) Wait(now time.Duration) time.Duration {
	switch {
	case h.urgent:
		return 0
	case h.awaitsAnswer:
		return max(0, h.lastCallAt+h.terms.Renew/2-now)
	}
	return max(0, h.lastCallAt+h.terms.Renew-now)
}

// RenewNow makes a renewal due at once, for another voter.
func (h *Holder) RenewNow() { h.urgent = true }

// Missed returns the number of consecutive unanswered renewals. After a few of them the
// caller should try another voter.
func (h *Holder) Missed() int { return h.missed }

// Grant processes a grant from the leader.
func (h *Holder) Grant(now time.Duration, g Grant) (w GrantResult) {
	w.Grant = g
	if g.Seq != 0 && (g.Seq < h.minSeq || g.Seq > h.seq || g.Seq+uint64(len(h.sentAt)) <= h.seq) { // late, or meant for an earlier incarnation
		return GrantResult{Leased: h.lease}
	}
	h.missed = 0
	if g.Change != 0 && g.Change != h.checked {
		w.Check = true
	}
	if g.Made != 0 && g.Made == h.checked && g.Text == nil {
		g.Text = h.checkedText
		w.Grant.Text = h.checkedText
	}
	if g.Hold != 0 && g.Hold != h.heldRound {
		// Answers to earlier renewals must not yield a lease any more: the leader relies on this acknowledgement of the hold.
		h.lease, h.heldRound, h.heldAt, h.urgent, h.minSeq = Lease{}, g.Hold, now, true, h.seq+1
	}
	if g.Seq == 0 {
		h.urgent = true
		w.Leased = h.lease
		return w
	}
	h.awaitsAnswer, h.fenced, h.minSeq = h.awaitsAnswer && g.Seq < h.seq, g.Fenced, max(h.minSeq, g.Seq+1)
	if g.Version != h.version && (g.Text != nil || g.Version == 0) {
		w.Adopt = true
		h.version = g.Version
	}
	if g.Lease > 0 && g.Version == h.version {
		h.heldRound = 0
		h.lease = Lease{Version: g.Version, Until: h.sentAt[g.Seq%uint64(len(h.sentAt))] + g.Lease}
	} else if g.Version != h.version || g.Hold != 0 || g.Fenced != "" {
		h.lease = Lease{}
	}
	w.Leased = h.lease
	return w
}

// Checked records the result of checking a change's text. An empty refusal means that
// the gateway accepts it.
func (h *Holder) Checked(change uint64, text []byte, refusal string) {
	h.checked, h.checkedText, h.refusal, h.urgent = change, text, refusal, true
}

// AdoptFailed records that the gateway failed to adopt the version in force. It then has no
// version and decides no requests.
func (h *Holder) AdoptFailed() { h.version, h.lease = -1, Lease{} }

// State returns the version and a status text for operators.
func (h *Holder) State(now time.Duration) (version int64, state string) {
	switch {
	case h.lease.Until > now:
		return h.version, "serves"
	case h.heldRound != 0:
		return h.version, "holds"
	case h.fenced != "":
		return h.version, "fenced: " + h.fenced
	}
	return h.version, "no lease"
}

// Lease returns the present lease, and whether decisions are held while a new version
// is put in force.
func (h *Holder) Lease() (l Lease, holds bool) { return h.lease, h.heldRound != 0 }
