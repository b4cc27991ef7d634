package peer

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"gentiantide.example/gentiantide/internal/wire"
)

// MaxFrameBytes is the maximum size of a frame without its length prefix. It
// limits the memory that a faulty or malicious peer can make a node allocate.
const MaxFrameBytes = 1 << 20

// lengthPrefixBytes is the size of the big-endian length prefix of a frame.
const lengthPrefixBytes = 4

// frameType tells the frames of the handshake, requests, one-way messages and
// responses apart.
type frameType uint8

const (
	frameHello frameType = iota + 1
	frameRequest
	frameOneWay
	frameResponse
	frameError
	frameChallenge
	frameProof
)

// frame is the unit of transmission. Kind is the message kind of a request or
// one-way message; on a hello and on a challenge it is the sender's node ID. The
// field ID is set on requests and repeated on their responses.
type frame struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`

	Type frameType
	ID   uint64
	Kind string
	Body []byte
}

// frameFields is the number of fields of a frame. Later versions may add some.
const frameFields = 4

var errFrameFields = errors.Errorf("frame has fewer than %d fields", frameFields)

// encodeFrame returns the length prefix and the encoded frame. A frame above
// MaxFrameBytes is an error.
func encodeFrame(f *frame) ([]byte, error) {
	body, err := msgpack.Marshal(f)
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	if len(body) > MaxFrameBytes {
		return nil, errors.Errorf("frame of %d bytes exceeds the limit of %d bytes", len(body), MaxFrameBytes)
	}
	out := make([]byte, lengthPrefixBytes, lengthPrefixBytes+len(body))
	binary.BigEndian.PutUint32(out, uint32(len(body)))
	return append(out, body...), nil
}

// readFrame reads one frame of at most limit bytes. It returns io.EOF if the
// connection ends before the frame begins, and an error for a truncated, oversized
// or malformed frame.
func readFrame(r *bufio.Reader, limit uint32) (*frame, error) {
	var prefix [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > limit {
		return nil, errors.Errorf("frame of %d bytes exceeds the limit of %d bytes", size, limit)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	if size == 0 || !msgpcode.IsFixedArray(body[0]) || body[0]&msgpcode.FixedArrayMask < frameFields {
		return nil, errFrameFields
	}
	f := new(frame)
	if err := wire.Unmarshal(body, f); err != nil {
		return nil, errors.Wrap(err, "decode frame")
	}
	return f, nil
}
