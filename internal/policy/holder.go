package policy

import "time"

// Lease is what a gateway may decide by: a version, until a time on its own
// clock. Both are read before that clock is, and the clock after the request has
// come; so one that was stopped for however long decides nothing by a lease that
// has run out.
type Lease struct {
	Version int64
	Until   time.Duration
}

// Holder is a gateway's side.
type Holder struct {
	terms        Terms
	name         string
	zone         string
	digest       string
	format       int
	version      int64 // that it has; -1: none
	seq          uint64
	lastCallAt   time.Duration     // when its last call went out
	sentAt       [16]time.Duration // when each of the last calls did, by seq
	minSeq       uint64            // answers to calls before that are void
	awaitsAnswer bool              // that has no answer yet
	urgent       bool
	missed       int // calls in a row without an answer
	checked      uint64
	refusal      string
	checkedText  []byte // what was checked
	heldRound    uint64
	heldAt       time.Duration
	fenced       string
	lease        Lease
}

// NewHolder returns the side of a gateway that has no version yet, not even that
// of its own file: which is in force only the voters can tell. Digest is of its
// own file.
func NewHolder(terms Terms, name, zone, digest string) *Holder {
	return &Holder{terms: terms, name: name, zone: zone, digest: digest, format: Format, version: -1, urgent: true, lastCallAt: -terms.Renew}
}

// What a grant asks of the gateway.
type GrantResult struct {
	Adopt  bool // Text is the policy of Version, and in force: take it over before the lease is used
	Check  bool // say by Checked whether Next can be taken
	Grant  Grant
	Leased Lease // from now on; the zero Lease is none
}

// Tick returns the call that is due; nil: none.
func (h *Holder) Tick(now time.Duration) *Renew {
	wait := h.terms.Renew
	if h.awaitsAnswer {
		wait = h.terms.Renew / 2 // lost, or the leader is gone
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

// Wait is the time until Tick has something to say.
func (h *Holder) Wait(now time.Duration) time.Duration {
	switch {
	case h.urgent:
		return 0
	case h.awaitsAnswer:
		return max(0, h.lastCallAt+h.terms.Renew/2-now)
	}
	return max(0, h.lastCallAt+h.terms.Renew-now)
}

// Again wants the last call sent anew, to another voter.
func (h *Holder) Again() { h.urgent = true }

// Missed is the number of calls in a row that had no answer: after some it is time
// to call another voter.
func (h *Holder) Missed() int { return h.missed }

// Grant takes what the leader says.
func (h *Holder) Grant(now time.Duration, g Grant) (w GrantResult) {
	w.Grant = g
	if g.Seq != 0 && (g.Seq < h.minSeq || g.Seq > h.seq || g.Seq+uint64(len(h.sentAt)) <= h.seq) { // late, or none of this life's
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
		// What was asked before must not give a lease any more: the leader will count on this word.
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

// Checked tells what the gateway makes of the text of a change: refusal "" is that it
// can take it.
func (h *Holder) Checked(change uint64, text []byte, refusal string) {
	h.checked, h.checkedText, h.refusal, h.urgent = change, text, refusal, true
}

// Unable tells that it can't take over a version that is in force: it has none
// then, and decides nothing.
func (h *Holder) Unable() { h.version, h.lease = -1, Lease{} }

// State tells operators how it stands.
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

// Lease is what may be decided by now, and whether that is nothing for the moment
// of a turn.
func (h *Holder) Lease() (l Lease, holds bool) { return h.lease, h.heldRound != 0 }
