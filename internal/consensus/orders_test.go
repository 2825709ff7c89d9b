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

// TestOneBodyPerVersion explores clusters that are given several bodies for one version, and checks
// that disabled safeguards are detected.
func TestOneBodyPerVersion(t *testing.T) {
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
		t.Errorf("BugAnyBody is not detected in %d states", f.States)
	}
	b := ModelBounds{Members: 3, ToleratedLosses: 1, StartSilent: true, Puts: 4, Overtaken: true, LostMessages: 1,
		ShortWaits: 20, LongWaits: 30, Crashes: 2}
	for bug, want := range map[Bug]bool{0: false, BugAnyBody: true, BugDropLedger: true} {
		b := b
		b.Bug = bug
		t.Run(fmt.Sprint("walks, bug ", bug), func(t *testing.T) {
			t.Parallel()
			count, walksPerTest := 600, 600 // a bug is detected soon
			if !want {
				walksPerTest = 50
			}
			all := make([]RandomWalks, count/walksPerTest)
			t.Run("", func(t *testing.T) {
				for i := range all {
					t.Run("", func(t *testing.T) {
						t.Parallel()
						all[i] = Walk(b, NoPair, uint64(1+i*walksPerTest), walksPerTest, 160)
					})
				}
			})
			var w RandomWalks
			for _, a := range all {
				w.Count, w.Epochs, w.Acked, w.Violation = w.Count+a.Count, w.Epochs+a.Epochs, w.Acked+a.Acked,
					cmp.Or(w.Violation, a.Violation)
			}
			if (w.Violation != "") != want {
				t.Errorf("%+v", w)
			}
			t.Logf("%d walks, %d with another epoch, %d puts acknowledged; %s", w.Count, w.Epochs, w.Acked, w.Violation)
		})
	}
}

// TestStateWithoutLedger starts from states of the previous release, without digests. The body of
// the committed version is known. Of lower versions nothing is, so they are neither accepted nor
// refused.
func TestStateWithoutLedger(t *testing.T) {
	t.Parallel()
	w := newSteadyCluster(t, 3, 1, 1)
	n := w.nodes[0]
	for range 3 {
		w.put(n)
		w.run(100 * ms)
	}
	for _, n := range w.memberNodes() {
		w.kill(n, true)
		var old struct { // as the previous release wrote it
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
	top := w.highestAcked
	for d, want := range map[*Doc]Result{
		{Version: top, Body: []byte(w.appliedBodies[top])}:       ResultAccepted,
		{Version: top, Body: []byte("other")}:                    ResultConflict,
		{Version: top - 1, Body: []byte(w.appliedBodies[top-1])}: ResultBusy,
		{Version: top - 1, Body: []byte("other")}:                ResultBusy,
	} {
		o := w.call(n, false, *d)
		w.run(100 * ms)
		if o.answer == nil || o.answer.Result != want {
			t.Errorf("%d %q: %+v, not %v", d.Version, d.Body, o.answer, want)
		}
	}
	w.checkProgress()
	if w.failure != nil {
		t.Error(w.failure)
	}
}

// TestLedgerOnlyAtWriters checks that only writers have the ledger, and that all processes have the
// same body and digest.
func TestLedgerOnlyAtWriters(t *testing.T) {
	t.Parallel()
	w := newSteadyCluster(t, 3, 2, 1)
	for range 5 {
		w.put(w.nodes[0])
		w.run(100 * ms)
	}
	writers := w.newestActiveRecord().Writers
	for _, n := range w.nodes {
		d := n.machine.state.Committed
		if writes := n.config.Self == writers[0] || n.config.Self == writers[1]; writes != (len(d.Ledger) > 0) {
			t.Errorf("%s is a writer: %v, with %d ledger entries", n.config.Self, writes, d.Ledger.Len())
		}
		if !bytes.Equal(d.Digest, dedup.Digest(d.Body)) || n.machine.state.Pending.Version > 0 {
			t.Errorf("%s: %+v, pending %+v", n.config.Self, d, n.machine.state.Pending)
		}
	}
}

// TestAmendWithPendingLedger checks that an amendment doesn't wait for pending ledger additions but
// includes them.
func TestAmendWithPendingLedger(t *testing.T) {
	t.Parallel()
	w := newSteadyCluster(t, 3, 1, 1)
	w.call(w.nodes[0], false, Doc{Version: 9, Body: []byte("nine")})
	w.run(100 * ms)
	p := w.primary()
	overtaken := w.call(p, false, Doc{Version: 5, Body: []byte("five")})
	if l := p.machine.primary; l.proposal == nil || l.proposal.LedgerRev != 1 {
		t.Fatalf("no ledger addition is pending: %+v", l.proposal)
	}
	amended := *p.machine.Committed()
	amended.Rev++
	amended.Attachment = []byte("side")
	for _, n := range w.nodes {
		n.appliedVersion = 0 // an amendment is applied as the same version
	}
	ok, out := p.machine.Amend(w.now, amended)
	w.apply(p, out)
	w.run(100 * ms)
	other := w.call(w.nodes[1], false, Doc{Version: 5, Body: []byte("another five")})
	w.run(100 * ms)
	if d := p.machine.Committed(); !ok || d.Rev != 1 || string(d.Attachment) != "side" || overtaken.answer == nil ||
		overtaken.answer.Result != ResultAccepted ||
		other.answer == nil || other.answer.Result != ResultConflict || w.failure != nil {
		t.Errorf("amended %v: %+v; %+v, %+v; %v", ok, d, overtaken.answer, other.answer, w.failure)
	}
}

// TestOvertakenPrimary checks that an overtaken primary, which has received its successor's
// document, answers no requests, as it lacks the ledger.
func TestOvertakenPrimary(t *testing.T) {
	t.Parallel()
	w := newSteadyCluster(t, 3, 1, 1)
	w.put(w.nodes[0])
	w.run(100 * ms)
	p, from := w.primary(), w.nodes[3].config.Self
	next := Doc{Version: 9, Body: []byte("nine"), CreatedIn: Ballot{N: 99}}
	p.machine.Receive(w.now, w.witness().config.Self, Push{Doc: next})
	out := p.machine.Receive(w.now, from, Forward{ID: 1, CallerID: 1,
		Doc: Doc{Version: 9, Body: []byte("another nine")}})
	for _, s := range out.Send {
		if a, ok := s.Msg.(ForwardReply); ok {
			t.Errorf("the overtaken primary answers %+v", a)
		}
	}
	if out = p.machine.Tick(w.now + 50*ms); p.machine.primary != nil {
		t.Errorf("the overtaken primary does not resign: %+v", out)
	}
}

// asPreviousRelease changes a message to what the previous release writes or reads.
func asPreviousRelease(msg any) any {
	bare := func(d Doc) Doc { return Doc{Version: d.Version, Body: d.Body, Rev: d.Rev, Attachment: d.Attachment} }
	switch t := withoutBodyRefs(msg).(type) {
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

// asOldestRelease changes a message to what the release without tokens, packed documents and Leave
// writes or reads.
func asOldestRelease(msg any) any {
	switch t := asPreviousRelease(msg).(type) {
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

// TestLeaveWithOldestRelease checks that a leaving process does not wait for the whole grace period
// if the primary or another member runs a release without Leave.
func TestLeaveWithOldestRelease(t *testing.T) {
	for i := range 3 {
		for j := range 3 {
			w := newSimulation(uint64(3*i+j), 3, 1, 1)
			w.oldestRelease, w.olderNode = true, w.nodes[i].config.Self
			w.startAll()
			w.run(4 * time.Second)
			n, at, ended := w.nodes[j], w.now, false
			if i == j || w.primary() == nil {
				continue
			}
			w.leaveNode(n, func() { ended = true })
			for !ended && w.now < at+leaveGrace+time.Second {
				w.run(10 * ms)
			}
			t.Logf("%s runs the oldest release, %s leaves, the primary is %v: %v", w.olderNode, n.config.Self,
				n.machine.view.primary(), w.now-at)
			if !ended || w.now-at > 1200*ms {
				t.Errorf("%s runs the oldest release: %s exits after %v", w.olderNode, n.config.Self, w.now-at)
			}
			w.start(n)
			w.finishAndCheckProgress()
			w.checkNoFailure(t)
		}
	}
}

// TestPreviousReleaseMember runs a cluster with one member of the previous release. Acknowledged
// requests are never refused: they are acknowledged again, or answered with ResultBusy after that
// member has dropped the ledger. A primary of this release never acknowledges another body.
func TestPreviousReleaseMember(t *testing.T) {
	t.Parallel()
	for i := range 3 {
		w := newSimulation(uint64(i), 3, 1, 1)
		w.olderNode = w.nodes[i].config.Self
		w.startAll()
		w.run(2500 * ms)
		put := func(version uint32, body string, allowed ...Result) {
			t.Helper()
			o := w.call(w.nodes[3], false, Doc{Version: version, Body: fmt.Append(nil, body, version)})
			w.run(400 * ms)
			if o.answer == nil || !slices.Contains(allowed, o.answer.Result) {
				t.Errorf("%s runs the previous release: %s%d is answered %+v", w.olderNode, body, version, o.answer)
			}
		}
		accepted := func(version uint32) {
			t.Helper()
			put(version, "text ", ResultAccepted)
		}
		for _, version := range []uint32{3, 9, 9, 5, 12, 7, 9} {
			accepted(version)
		}
		for range 2 {
			w.kill(w.primary(), true)
			w.run(2500 * ms)
			w.heal()
			w.run(2500 * ms)
			for _, version := range []uint32{3, 9, 12} {
				if version < w.highestAcked {
					put(version, "text ", ResultAccepted, ResultBusy)
				}
				if p := w.primary(); p == nil || p.config.Self != w.olderNode {
					put(version, "another ", ResultConflict, ResultBusy)
				}
			}
			for _, version := range []uint32{w.highestAcked, w.highestAcked + 5, w.highestAcked + 3} {
				accepted(version)
			}
		}
		if w.failure != nil {
			t.Error(w.olderNode, w.failure)
		}
	}
}
