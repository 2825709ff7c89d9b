package consensus

import (
	"errors"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// TestDiskFormats: disks of today and of before there were formats are read; one of a later program is refused by name,
// even where its fields are of other kinds.
func TestDiskFormats(t *testing.T) {
	t.Parallel()
	w := calm(t, 3, 0, 1)
	d := *w.nodes[0].synced
	raw, err := cbor.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeState(raw); err != nil || d.Format != StateFormat || !reflect.DeepEqual(*got, d) {
		t.Errorf("%v: %+v, not %+v", err, got, d)
	}
	d.Format = 0
	raw, _ = cbor.Marshal(d)
	if got, err := DecodeState(raw); err != nil || got.DiskID != d.DiskID {
		t.Errorf("%v: %+v", err, got)
	}
	raw, _ = cbor.Marshal(map[int]any{1: "another kind", 10: StateFormat + 1})
	var newer *NewerFormatError
	if got, err := DecodeState(raw); got != nil || !errors.As(err, &newer) || newer.Have != StateFormat+1 {
		t.Errorf("%v: %+v", err, got)
	}
	if got, err := DecodeState([]byte("no record")); got != nil || err == nil || errors.As(err, &newer) {
		t.Errorf("%v: %+v", err, got)
	}
}
