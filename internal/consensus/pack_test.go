package consensus

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// longText is like a large configuration: it packs well, and no two parts are the same.
func longText(n int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, `{"Name":"route-%06d","Path":"/of/the/service/%06d/"},`, i, i*7919)
	}
	return b.Bytes()
}

// TestPacked: a large document goes packed in whatever carries it whole, to who reads that and to nobody else, and
// comes out as it was; what is damaged is dropped.
func TestPacked(t *testing.T) {
	t.Parallel()
	w := calm(t, 3, 0, 1)
	m := w.primary().m
	d := Doc{Version: 9, Body: longText(1 << 20), Attachment: []byte("side")}
	other := w.backup().cfg.Self
	m.packReaders = nil
	for _, msg := range []any{Promise{Committed: d, Pending: d}, InstallState{Committed: d, Pending: d}, Append{Doc: d}, Forward{Doc: d}, ForwardReply{Doc: &d}} {
		if got := m.packedFor(other, msg); !reflect.DeepEqual(got, msg) {
			t.Errorf("%T is packed for a process that never said it reads that", msg)
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
			t.Errorf("%T does not come out as it was: %v", msg, ok)
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
		t.Error("a damaged document is taken")
	}
	if len(m.packedBodies) > maxPackedBodies {
		t.Errorf("%d parcels are kept", len(m.packedBodies))
	}
}

// TestPackedDisk: a large record is packed, is read back, and one that is damaged is refused.
func TestPackedDisk(t *testing.T) {
	t.Parallel()
	d := DurableState{DiskID: 3, Committed: Doc{Version: 1, Body: longText(1 << 20)}, Pending: Doc{Version: 2, Body: longText(1 << 20)}}
	data, err := d.Encode()
	if err != nil || len(data) > 600<<10 {
		t.Fatal(len(data), err)
	}
	if got, err := DecodeState(data); err != nil || !reflect.DeepEqual(*got, d) {
		t.Fatal(err)
	}
	var older before
	if cbor.Unmarshal(data, &older) == nil {
		t.Error("the program before takes a packed record for its own")
	}
	if _, err := DecodeState(data[:len(data)/2]); err == nil {
		t.Error("half of a record is read")
	}
}

// TestDiffering: what is offered and to be kept goes as a difference to what is in force, whole where it is repeated;
// who has another base drops it, and a caller then hears who leads.
func TestDiffering(t *testing.T) {
	t.Parallel()
	w, _, _ := fleet(t)
	m, other := w.primary().m, w.backup()
	m.packReaders = packReaderList{other.cfg.Self}
	d := routes(12, 7)
	for _, again := range []bool{false, true} {
		for _, msg := range []any{Append{Doc: d, resent: again}, Forward{Doc: d, resent: again}} {
			raw, err := cbor.Marshal(m.packedFor(other.cfg.Self, msg))
			if err != nil || (len(raw) < 500) == again {
				t.Errorf("%T, repeated %v: %d bytes, %v", msg, again, len(raw), err)
			}
		}
	}
	short := m.packedFor(other.cfg.Self, Append{Doc: d})
	if got, ok := other.m.unpack(short); !ok || string(got.(Append).Doc.Body) != string(d.Body) {
		t.Error("it does not come out as it was")
	}
	empty := New(Config{Self: "x"}, nil, 0)
	if _, ok := empty.unpack(short); ok {
		t.Error("it is taken without its base")
	}
	w.change(t, routes(12, 7))
	w.change(t, routes(13, 7))
	behind := w.nodes[5]
	out := behind.m.Receive(w.now, other.cfg.Self, m.packedFor(other.cfg.Self, Forward{ID: 9, Doc: routes(14, 8)}))
	if len(out.Send) == 0 {
		t.Error("a caller is not told who leads")
	}
}
