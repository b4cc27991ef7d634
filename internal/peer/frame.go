package peer

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxFrameBytes bounds one frame, so that a broken or hostile peer cannot make
// a node allocate without bound.
const MaxFrameBytes = 1 << 20

// lengthBytes is the size of the big-endian length before each frame.
const lengthBytes = 4

// frameType says what a frame is.
type frameType uint8

const (
	frameHello frameType = iota + 1
	frameRequest
	frameOneWay
	frameAnswer
	frameError
	frameChallenge
	frameProof
)

// frame is the unit on the wire. Kind is set on requests and one-way messages;
// on a hello and on a challenge it carries the sender's node id.
type frame struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`

	Type frameType
	ID   uint64
	Kind string
	Body []byte
}

// encodeFrame returns the frame with its length prefix.
func encodeFrame(f *frame) ([]byte, error) {
	body, err := msgpack.Marshal(f)
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	if len(body) > MaxFrameBytes {
		return nil, errors.Errorf("frame of %d bytes exceeds the limit of %d bytes", len(body), MaxFrameBytes)
	}
	out := make([]byte, lengthBytes, lengthBytes+len(body))
	binary.BigEndian.PutUint32(out, uint32(len(body)))
	return append(out, body...), nil
}

// readFrame reads one frame of at most limit bytes. Errors: io.EOF at a clean
// end, an error for an oversized or malformed frame.
func readFrame(r *bufio.Reader, limit uint32) (*frame, error) {
	var prefix [lengthBytes]byte
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
	f := new(frame)
	if err := msgpack.Unmarshal(body, f); err != nil {
		return nil, errors.Wrap(err, "decode frame")
	}
	return f, nil
}
