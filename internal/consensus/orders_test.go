package consensus

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"asterwell/internal/dedup"
)

// TestTexts visits cores that are given several texts of one number, and finds guards that are taken out.
func TestTexts(t *testing.T) {
	t.Parallel()
	for _, b := range []ModelBounds{{Puts: 2, SameVersion: true}, {Puts: 3, Overtaken: true, MaxStates: 150_000},
		{StartSilent: true, Puts: 2, SameVersion: true, ShortWaits: 1, MaxStates: 150_000}} {
		t.Run(fmt.Sprintf("%+v", b), func(t *testing.T) {
			t.Parallel()
			if f := Explore(b); f.Violation != "" || f.Acked == 0 {
				t.Errorf("%+v", f)
			}
		})
	}
	if f := Explore(ModelBounds{Puts: 2, SameVersion: true, Bug: BugAnyBody}); f.Violation == "" {
		t.Errorf("any text is acknowledged, and it is not found in %d states", f.States)
	}
	b := ModelBounds{Members: 3, ToleratedLosses: 1, StartSilent: true, Puts: 4, Overtaken: true, LostMessages: 1, ShortWaits: 20, LongWaits: 30, Crashes: 2}
	for bug, want := range map[Bug]bool{0: false, BugAnyBody: true, BugDropLedger: true} {
		b := b
		b.Bug = bug
		t.Run(fmt.Sprint("schedules, bug ", bug), func(t *testing.T) {
			t.Parallel()
			count, part := 600, 600 // a mutant is met soon
			if !want {
				part = 50
			}
			all := make([]RandomWalks, count/part)
			t.Run("", func(t *testing.T) {
				for i := range all {
					t.Run("", func(t *testing.T) {
						t.Parallel()
						all[i] = Walk(b, NoPair, uint64(1+i*part), part, 160)
					})
				}
			})
			var w RandomWalks
			for _, a := range all {
				w.Count, w.Epochs, w.Acked, w.Violation = w.Count+a.Count, w.Epochs+a.Epochs, w.Acked+a.Acked, cmp.Or(w.Violation, a.Violation)
			}
			if (w.Violation != "") != want {
				t.Errorf("%+v", w)
			}
			t.Logf("%d schedules, %d with another epoch, %d acknowledged; %s", w.Count, w.Epochs, w.Acked, w.Violation)
		})
	}
}

// TestOldRecord: a disk of the version before has a document without digests; its number's text is known, and
// of what is below nothing is: neither acknowledged nor refused.
func TestOldRecord(t *testing.T) {
	t.Parallel()
	w := calm(t, 3, 1, 1)
	n := w.nodes[0]
	for range 3 {
		w.put(n)
		w.run(100 * ms)
	}
	for _, n := range w.members() {
		w.kill(n, true)
		var old struct { // as it was written then
			Life     uint64      `cbor:"1,keyasint"`
			Genesis  bool        `cbor:"2,keyasint,omitempty"`
			Promised Ballot      `cbor:"3,keyasint"`
			Record   EpochRecord `cbor:"4,keyasint"`
			Stamp    Ballot      `cbor:"5,keyasint"`
			Kept     struct {
				Version uint32 `cbor:"1,keyasint,omitempty"`
				Body    []byte `cbor:"2,keyasint,omitempty"`
			} `cbor:"6,keyasint"`
		}
		data, _ := cbor.Marshal(n.synced)
		if err := cbor.Unmarshal(data, &old); err != nil {
			t.Fatal(err)
		}
		data, _ = cbor.Marshal(old)
		n.synced = new(DurableState)
		if err := cbor.Unmarshal(data, n.synced); err != nil || len(n.synced.Committed.Ledger) > 0 {
			t.Fatal(err)
		}
	}
	w.heal()
	w.run(2500 * ms)
	top := w.acked
	for d, want := range map[*Doc]Result{
		{Version: top, Body: []byte(w.bodies[top])}: ResultAccepted, {Version: top, Body: []byte("other")}: ResultConflict,
		{Version: top - 1, Body: []byte(w.bodies[top-1])}: ResultBusy, {Version: top - 1, Body: []byte("other")}: ResultBusy,
	} {
		o := w.call(n, false, *d)
		w.run(100 * ms)
		if o.done == nil || o.done.Result != want {
			t.Errorf("%d %q: %+v, not %v", d.Version, d.Body, o.done, want)
		}
	}
	w.goesOn()
	if w.broken != nil {
		t.Error(w.broken)
	}
}

// TestDigests: others than writers are not given what they have no use for, and a text changes hands unchanged.
func TestDigests(t *testing.T) {
	t.Parallel()
	w := calm(t, 3, 2, 1)
	for range 5 {
		w.put(w.nodes[0])
		w.run(100 * ms)
	}
	writers := w.record().Writers
	for _, n := range w.nodes {
		d := n.m.state.Committed
		if writes := n.cfg.Self == writers[0] || n.cfg.Self == writers[1]; writes != (len(d.Ledger) > 0) {
			t.Errorf("%s writes: %v, and has %d orders", n.cfg.Self, writes, d.Ledger.Len())
		}
		if !bytes.Equal(d.Digest, dedup.Digest(d.Body)) || n.m.state.Pending.Version > 0 {
			t.Errorf("%s: %+v, next %+v", n.cfg.Self, d, n.m.state.Pending)
		}
	}
}

// TestAmendNotes: an amendment doesn't wait for notes that are under way, and takes them along.
func TestAmendNotes(t *testing.T) {
	t.Parallel()
	w := calm(t, 3, 1, 1)
	w.call(w.nodes[0], false, Doc{Version: 9, Body: []byte("nine")})
	w.run(100 * ms)
	p := w.primary()
	late := w.call(p, false, Doc{Version: 5, Body: []byte("five")})
	if l := p.m.primary; l.proposal == nil || l.proposal.LedgerRev != 1 {
		t.Fatalf("five is not to be noted: %+v", l.proposal)
	}
	amended := *p.m.Committed()
	amended.Rev++
	amended.Attachment = []byte("side")
	for _, n := range w.nodes {
		n.adopted = 0 // an amendment is put in force as the same version
	}
	ok, out := p.m.Amend(w.now, amended)
	w.apply(p, out)
	w.run(100 * ms)
	other := w.call(w.nodes[1], false, Doc{Version: 5, Body: []byte("another five")})
	w.run(100 * ms)
	if d := p.m.Committed(); !ok || d.Rev != 1 || string(d.Attachment) != "side" || late.done == nil || late.done.Result != ResultAccepted ||
		other.done == nil || other.done.Result != ResultConflict || w.broken != nil {
		t.Errorf("amended %v: %+v; %+v, %+v; %v", ok, d, late.done, other.done, w.broken)
	}
}

// TestOvertakenJudge: a primary that was overtaken, and has been given what its successor keeps, judges no orders: it
// has no ledger of them.
func TestOvertakenJudge(t *testing.T) {
	t.Parallel()
	w := calm(t, 3, 1, 1)
	w.put(w.nodes[0])
	w.run(100 * ms)
	p, from := w.primary(), w.nodes[3].cfg.Self
	next := Doc{Version: 9, Body: []byte("nine"), CreatedIn: Ballot{N: 99}}
	p.m.Receive(w.now, w.other().cfg.Self, Push{Doc: next})
	out := p.m.Receive(w.now, from, Forward{ID: 1, CallerID: 1, Doc: Doc{Version: 9, Body: []byte("another nine")}})
	for _, s := range out.Send {
		if a, ok := s.Msg.(ForwardReply); ok {
			t.Errorf("it answers %+v", a)
		}
	}
	if out = p.m.Tick(w.now + 50*ms); p.m.primary != nil {
		t.Errorf("it goes on: %+v", out)
	}
}

// older is a message as the version before writes or reads it.
func older(msg any) any {
	bare := func(d Doc) Doc { return Doc{Version: d.Version, Body: d.Body, Rev: d.Rev, Attachment: d.Attachment} }
	switch t := nameless(msg).(type) {
	case Forward:
		t.Doc = bare(t.Doc)
		return t
	case Append:
		t.Doc = bare(t.Doc)
		return t
	case Appended:
		t.LedgerRevPlusOne = 0
		return t
	case InstallState:
		t.Committed, t.Pending = bare(t.Committed), bare(t.Pending)
		return t
	case Promise:
		t.Committed, t.Pending = bare(t.Committed), bare(t.Pending)
		return t
	case Push:
		t.Doc = bare(t.Doc)
		return t
	}
	return msg
}

// eldest is a message as the version wrote or read it that knew neither tokens nor packed documents nor
// how seats are handed over.
func eldest(msg any) any {
	switch t := older(msg).(type) {
	case Leave, Handover, LeaveGranted, MemberLost, FenceNotice:
		return nil
	case View:
		t.ReadsPacked = false
		return t
	case Forward:
		t.ReadsPacked = false
		return t
	case Prepare:
		t.Token, t.HandedOver = Token{}, false
		return t
	case Promise:
		t.Token, t.KnownTokens = Token{}, nil
		return t
	case StateInstalled:
		t.Token = Token{}
		return t
	case EpochRecorded:
		t.Token = Token{}
		return t
	case Appended:
		t.Token = Token{}
		return t
	case Confirmed:
		t.Token = Token{}
		return t
	case Heartbeat:
		t.KnownTokens = nil
		return t
	case HeartbeatReply:
		t.Token, t.TokensHash, t.RecordStored = Token{}, 0, false
		return t
	default:
		return t
	}
}

// TestLeaveOldest: a leaver does not wait for its grace where the primary, or another member, is of a version
// that knows nothing of leaves.
func TestLeaveOldest(t *testing.T) {
	for i := range 3 {
		for j := range 3 {
			w := newWorld(uint64(3*i+j), 3, 1, 1)
			w.oldest, w.old = true, w.nodes[i].cfg.Self
			w.startAll()
			w.run(4 * time.Second)
			n, at, ended := w.nodes[j], w.now, false
			if i == j || w.primary() == nil {
				continue
			}
			w.leave(n, func() { ended = true })
			for !ended && w.now < at+graceOf+time.Second {
				w.run(10 * ms)
			}
			t.Logf("%s is old, %s leaves, the primary is %v: %v", w.old, n.cfg.Self, n.m.view.primary(), w.now-at)
			if !ended || w.now-at > 1200*ms {
				t.Errorf("%s is old: %s ends after %v", w.old, n.cfg.Self, w.now-at)
			}
			w.start(n)
			w.settled()
			w.sane(t)
		}
	}
}

// TestOlderMember: with one member of the version before all goes on, and what was acknowledged is never refused: it is
// acknowledged again, or left without a clear answer where that member has dropped the ledger. Nor does a primary of this
// version acknowledge another text.
func TestOlderMember(t *testing.T) {
	t.Parallel()
	for i := range 3 {
		w := newWorld(uint64(i), 3, 1, 1)
		w.old = w.nodes[i].cfg.Self
		w.startAll()
		w.run(2500 * ms)
		put := func(version uint32, text string, may ...Result) {
			t.Helper()
			o := w.call(w.nodes[3], false, Doc{Version: version, Body: fmt.Append(nil, text, version)})
			w.run(400 * ms)
			if o.done == nil || !slices.Contains(may, o.done.Result) {
				t.Errorf("%s is of the version before: %s%d is answered %+v", w.old, text, version, o.done)
			}
		}
		kept := func(version uint32) {
			t.Helper()
			put(version, "text ", ResultAccepted)
		}
		for _, version := range []uint32{3, 9, 9, 5, 12, 7, 9} {
			kept(version)
		}
		for range 2 {
			w.kill(w.primary(), true)
			w.run(2500 * ms)
			w.heal()
			w.run(2500 * ms)
			for _, version := range []uint32{3, 9, 12} {
				if version < w.acked {
					put(version, "text ", ResultAccepted, ResultBusy)
				}
				if p := w.primary(); p == nil || p.cfg.Self != w.old {
					put(version, "another ", ResultConflict, ResultBusy)
				}
			}
			for _, version := range []uint32{w.acked, w.acked + 5, w.acked + 3} {
				kept(version)
			}
		}
		if w.broken != nil {
			t.Error(w.old, w.broken)
		}
	}
}
