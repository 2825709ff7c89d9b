package consensus

import (
	"errors"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// TestStateFormats checks that states with and without a format are read, and that a state of a
// later format is refused with NewerFormatError, even if its fields have other types.
func TestStateFormats(t *testing.T) {
	t.Parallel()
	w := newSteadyCluster(t, 3, 0, 1)
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
