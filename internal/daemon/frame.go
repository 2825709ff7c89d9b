package daemon

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"asterwell/internal/controlplane"
	"asterwell/internal/mesh"
)

// frame is a message between two processes. On the wire it is the length of the rest in four bytes, the
// version, the kind of the message, the sender's address with its length before it, and the message in
// CBOR.
type frame struct {
	From string
	Msg  any
}

const (
	frameVersion = 1
	maxFrameSize = 16 << 20
)

// messageTypes are the message types of each machine. The kind on the wire is 32 times the index of the
// machine, plus the index of the type in the machine's list.
var messageTypes = controlplane.Messages()

var messageKinds = func() map[reflect.Type]byte {
	n := map[reflect.Type]byte{}
	for i, all := range messageTypes {
		for j, m := range all {
			n[reflect.TypeOf(m)] = byte(i*32 + j)
		}
	}
	return n
}()

// Frame is exported for programs that measure the traffic between processes.
type Frame = frame

// FrameCodec encodes and decodes frames.
var FrameCodec = codec

var codec = mesh.Codec[*frame]{Encode: encode, Decode: read}

func encode(f *frame) []byte {
	body, err := cbor.Marshal(f.Msg)
	if err != nil {
		panic(fmt.Sprintf("message %T: %v", f.Msg, err)) // can't happen: all message types can be encoded
	}
	b := make([]byte, 4, 4+3+len(f.From)+len(body))
	b = append(b, frameVersion, messageKinds[reflect.TypeOf(f.Msg)], byte(len(f.From)))
	b = append(append(b, f.From...), body...)
	binary.BigEndian.PutUint32(b, uint32(len(b)-4))
	return b
}

func read(in *bufio.Reader) (*frame, int, error) {
	return readUnless(in, func(byte) bool { return false })
}

// readUnless reads a frame. For a kind to be skipped it returns no frame, and the size.
func readUnless(in *bufio.Reader, skip func(kind byte) bool) (*frame, int, error) {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return nil, 0, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size < 3 || size > maxFrameSize {
		return nil, 0, fmt.Errorf("%w: %d bytes", mesh.ErrForeignFrame, size)
	}
	b := make([]byte, size)
	if _, err := io.ReadFull(in, b); err != nil {
		return nil, 0, err
	}
	kind, from := int(b[1]), 3+int(b[2])
	if b[0] != frameVersion || kind/32 >= len(messageTypes) || kind%32 >= len(messageTypes[kind/32]) || from > len(b) {
		return nil, 0, fmt.Errorf("%w: version %d, kind %d", mesh.ErrForeignFrame, b[0], kind)
	}
	if skip(b[1]) {
		return nil, int(size) + 4, nil
	}
	msg := reflect.New(reflect.TypeOf(messageTypes[kind/32][kind%32]))
	if err := cbor.Unmarshal(b[from:], msg.Interface()); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", mesh.ErrDamagedFrame, err)
	}
	return &frame{From: string(b[3:from]), Msg: msg.Elem().Interface()}, int(size) + 4, nil
}
