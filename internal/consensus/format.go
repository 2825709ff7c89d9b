package consensus

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"asterwell/internal/delta"
)

// DiskFormat is the newest format of a member's disk that this program knows. A change that
// an older program must not pass over by leaving out what it does not know raises it.
const StateFormat = 1

// Newer tells that a disk was written by a later program, which an older one leaves alone.
type NewerFormatError struct{ Have, Want uint32 }

func (e *NewerFormatError) Error() string {
	return fmt.Sprintf("format %d, this program knows up to %d", e.Have, e.Want)
}

// packedMark begins a disk's record that is packed; no cbor begins so. A large document stands
// in it twice while it is on its way, and the vault keeps the record before as well: on a small
// disk four times 16 MiB are too much.
const packedPrefix = 0xff

const (
	minPackedState   = 256 << 10
	maxUnpackedState = 256 << 20 // that is unpacked: far more than documents come to
)

// Bytes is the disk as it is written.
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

// ReadDisk reads what a member must not forget. Disks from before there were formats have none.
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
