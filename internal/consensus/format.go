package consensus

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"asterwell/internal/delta"
)

// StateFormat is the newest format of the durable state that this program reads. It is raised by a
// change that an older program must not ignore by dropping fields unknown to it.
const StateFormat = 1

// NewerFormatError reports a state written by a later release, which this program must not change.
type NewerFormatError struct{ Have, Want uint32 }

func (e *NewerFormatError) Error() string {
	return fmt.Sprintf("format %d, this program knows up to %d", e.Have, e.Want)
}

// packedPrefix begins a packed state. No CBOR encoding of a state begins with it. A large document
// is in the state twice while it is being replicated, and the storage keeps the previous state as
// well: four times 16 MiB are too much for a small disk.
const packedPrefix = 0xff

const (
	minPackedState   = 256 << 10
	maxUnpackedState = 256 << 20 // unpacked; far above the size of real documents
)

// Encode returns the state as it is written to disk.
func (d *DurableState) Encode() ([]byte, error) {
	data, err := cbor.Marshal(d)
	if err != nil || len(data) < minPackedState {
		return data, err
	}
	if packed, ok := delta.Compress([]byte{packedPrefix}, data); ok {
		return packed, nil
	}
	return data, nil
}

// DecodeState reads a state. States from before formats were introduced have no Format.
func DecodeState(data []byte) (*DurableState, error) {
	if len(data) > 0 && data[0] == packedPrefix {
		all, err := delta.Decompress(data[1:], maxUnpackedState)
		if err != nil {
			return nil, fmt.Errorf("packed: %w", err)
		}
		data = all
	}
	var head struct {
		Format uint32 `cbor:"10,keyasint"`
	}
	if err := cbor.Unmarshal(data, &head); err != nil {
		return nil, err
	}
	if head.Format > StateFormat {
		return nil, &NewerFormatError{head.Format, StateFormat}
	}
	d := &DurableState{}
	if err := cbor.Unmarshal(data, d); err != nil {
		return nil, err
	}
	return d, nil
}
