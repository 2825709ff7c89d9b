package consensus

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// compressibleText resembles a large configuration: it packs well, and no two parts are equal.
func compressibleText(n int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, `{"Name":"route-%06d","Path":"/of/the/service/%06d/"},`, i, i*7919)
	}
	return b.Bytes()
}

// TestPacked checks that a large document is packed in each message that carries it whole, only for
// processes that read that, and is restored exactly. Damaged ones are dropped.
func TestPacked(t *testing.T) {
	t.Parallel()
	w := newSteadyCluster(t, 3, 0, 1)
	m := w.primary().machine
	d := Doc{Version: 9, Body: compressibleText(1 << 20), Attachment: []byte("side")}
	other := w.backup().config.Self
	m.packReaders = nil
	for _, msg := range []any{Promise{Committed: d, Pending: d}, InstallState{Committed: d, Pending: d},
		Append{Doc: d}, Forward{Doc: d}, ForwardReply{Doc: &d}} {
		if got := m.packedFor(other, msg); !reflect.DeepEqual(got, msg) {
			t.Errorf("%T is packed for a process that has not shown that it reads that", msg)
		}
		m.packReaders = packReaderList{other}
		short := m.packedFor(other, msg)
		raw, err := cbor.Marshal(short)
		if err != nil || len(raw) > 300<<10 {
			t.Errorf("%T: %d bytes, %v", msg, len(raw), err)
		}
		back := reflect.New(reflect.TypeOf(msg))
		if err := cbor.Unmarshal(raw, back.Interface()); err != nil {
			t.Fatal(err)
		}
		if got, ok := m.unpack(back.Elem().Interface()); !ok || !reflect.DeepEqual(got, msg) {
			t.Errorf("%T is not restored exactly: %v", msg, ok)
		}
		m.packReaders = nil
	}
	m.packReaders = packReaderList{other}
	short := m.packedFor(other, Append{Doc: d, resent: true}).(Append)
	bad := *short.Doc.Packed
	bad.Ops = bytes.Clone(bad.Ops)
	bad.Ops[len(bad.Ops)/2] ^= 4
	short.Doc.Packed = &bad
	if _, ok := m.unpack(short); ok {
		t.Error("a damaged document is accepted")
	}
	if len(m.packedBodies) > maxPackedBodies {
		t.Errorf("%d packed bodies are cached", len(m.packedBodies))
	}
}

// TestPackedState checks that a large state is packed and read back, and that a damaged one is
// refused.
func TestPackedState(t *testing.T) {
	t.Parallel()
	d := DurableState{DiskID: 3, Committed: Doc{Version: 1, Body: compressibleText(1 << 20)},
		Pending: Doc{Version: 2, Body: compressibleText(1 << 20)}}
	data, err := d.Encode()
	if err != nil || len(data) > 600<<10 {
		t.Fatal(len(data), err)
	}
	if got, err := DecodeState(data); err != nil || !reflect.DeepEqual(*got, d) {
		t.Fatal(err)
	}
	var older stateWithoutTokens
	if cbor.Unmarshal(data, &older) == nil {
		t.Error("the previous release decodes a packed state")
	}
	if _, err := DecodeState(data[:len(data)/2]); err == nil {
		t.Error("half of a state is decoded")
	}
}

// TestProposalAsDelta checks that proposals are sent as deltas to the committed document, and whole
// when repeated. A receiver with another base drops the delta, and a caller then learns which
// process is the primary.
func TestProposalAsDelta(t *testing.T) {
	t.Parallel()
	w, _, _ := newFleet(t)
	m, other := w.primary().machine, w.backup()
	m.packReaders = packReaderList{other.config.Self}
	d := docWithRoutes(12, 7)
	for _, again := range []bool{false, true} {
		for _, msg := range []any{Append{Doc: d, resent: again}, Forward{Doc: d, resent: again}} {
			raw, err := cbor.Marshal(m.packedFor(other.config.Self, msg))
			if err != nil || (len(raw) < 500) == again {
				t.Errorf("%T, repeated %v: %d bytes, %v", msg, again, len(raw), err)
			}
		}
	}
	short := m.packedFor(other.config.Self, Append{Doc: d})
	if got, ok := other.machine.unpack(short); !ok || string(got.(Append).Doc.Body) != string(d.Body) {
		t.Error("the delta does not restore the document")
	}
	empty := New(Config{Self: "x"}, nil, 0)
	if _, ok := empty.unpack(short); ok {
		t.Error("a delta is accepted without its base")
	}
	w.putAndCheck(t, docWithRoutes(12, 7))
	w.putAndCheck(t, docWithRoutes(13, 7))
	behind := w.nodes[5]
	out := behind.machine.Receive(w.now, other.config.Self,
		m.packedFor(other.config.Self, Forward{ID: 9, Doc: docWithRoutes(14, 8)}))
	if len(out.Send) == 0 {
		t.Error("the caller is not told the primary")
	}
}
