package cluster

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/cespare/xxhash/v2"

	"asterwell/internal/mesh"
)

// Kind is the kind of a frame.
type Kind byte

// Kinds of frames. Members drop and count frames of a kind that they don't know, as an
// earlier version does.
const (
	KindRaft  Kind = 1 + iota // voter to voter: raftpb.Message
	KindRenew                 // gateway to leader: policy.Renew as JSON
	KindGrant                 // leader to gateway: GrantMessage as JSON
	KindAsk                   // operator to member: Ask as JSON
	KindReply                 // member to operator: Reply as JSON
)

// Frame is a message between members. On the wire it is the four bytes "AWCL", the
// version, the kind, two zero bytes, the length of the part after the header, cluster,
// from, to, a CRC-32C over the whole frame computed with zero in its place, then both
// names, each preceded by its length in one byte, and the body. Numbers are big-endian.
type Frame struct {
	Kind     Kind
	From, To uint64 // a voter's ID belongs to its disk, a gateway's to its process; To 0: any recipient
	FromName string
	ToName   string
	Body     []byte
}

const (
	frameVersion = 1
	headerSize   = 4 + 1 + 1 + 2 + 4 + 8 + 8 + 8 + 4
	maxFrameSize = 8 << 20
)

// conn is a connection that carries frames.
type conn = mesh.Conn[*Frame]

var errForeignFrame, errDamagedFrame = mesh.ErrForeignFrame, mesh.ErrDamagedFrame

// codec returns the codec for the frames of a cluster.
func codec(cluster uint64) mesh.Codec[*Frame] {
	return mesh.Codec[*Frame]{
		Encode: func(f *Frame) []byte { return f.encode(cluster) },
		Decode: func(in *bufio.Reader) (*Frame, int, error) {
			f, err := readFrame(in, cluster)
			if err != nil {
				return nil, 0, err
			}
			return f, headerSize + 2 + len(f.FromName) + len(f.ToName) + len(f.Body), nil
		},
	}
}

// clusterNumber returns the hash that represents a cluster's name in frames.
func clusterNumber(name string) uint64 { return xxhash.Sum64String(name) }

// encode returns the frame's wire format.
func (f *Frame) encode(cluster uint64) []byte {
	rest := 2 + len(f.FromName) + len(f.ToName) + len(f.Body)
	b := make([]byte, 0, headerSize+rest)
	b = append(b, "AWCL"...)
	b = append(b, frameVersion, byte(f.Kind), 0, 0)
	b = binary.BigEndian.AppendUint32(b, uint32(rest))
	b = binary.BigEndian.AppendUint64(b, cluster)
	b = binary.BigEndian.AppendUint64(b, f.From)
	b = binary.BigEndian.AppendUint64(b, f.To)
	b = append(b, 0, 0, 0, 0)
	b = append(append(b, byte(len(f.FromName))), f.FromName...)
	b = append(append(b, byte(len(f.ToName))), f.ToName...)
	b = append(b, f.Body...)
	binary.BigEndian.PutUint32(b[headerSize-4:], crc32.Checksum(b, castagnoli))
	return b
}

// readFrame reads the next frame. After an error the connection must be closed, since
// the start of the next frame is unknown.
func readFrame(in *bufio.Reader, cluster uint64) (*Frame, error) {
	head := make([]byte, headerSize)
	if _, err := io.ReadFull(in, head); err != nil {
		return nil, err
	}
	rest := binary.BigEndian.Uint32(head[8:])
	switch {
	case string(head[:4]) != "AWCL" || binary.BigEndian.Uint64(head[12:]) != cluster:
		return nil, errForeignFrame
	case head[4] > frameVersion:
		return nil, fmt.Errorf("%w: version %d, this program knows %d", errForeignFrame, head[4], frameVersion)
	case rest < 2 || rest > maxFrameSize:
		return nil, fmt.Errorf("%w: %d bytes", errDamagedFrame, rest)
	}
	body := make([]byte, rest)
	if _, err := io.ReadFull(in, body); err != nil {
		return nil, err
	}
	want := binary.BigEndian.Uint32(head[headerSize-4:])
	clear(head[headerSize-4:])
	if crc32.Update(crc32.Checksum(head, castagnoli), castagnoli, body) != want {
		return nil, errDamagedFrame
	}
	f := &Frame{Kind: Kind(head[5]), From: binary.BigEndian.Uint64(head[20:]), To: binary.BigEndian.Uint64(head[28:])}
	for _, to := range []*string{&f.FromName, &f.ToName} {
		n := 0
		if len(body) > 0 {
			n = int(body[0])
		}
		if len(body) < 1+n {
			return nil, errDamagedFrame
		}
		*to, body = string(body[1:1+n]), body[1+n:]
	}
	f.Body = body
	return f, nil
}
