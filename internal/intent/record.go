package intent

import (
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// record is the value of an intent row, encoded with msgpack.
type record struct {
	State   State  `msgpack:"state"`
	Attempt string `msgpack:"attempt"`
	Digest  Digest `msgpack:"digest"`
	// Response is set in StateDone unless it was too large to be stored.
	Response *Response `msgpack:"answer,omitempty"`
	// WrittenAt is the time of the write on the writer's clock. The retention
	// period of the row starts at it.
	WrittenAt time.Time `msgpack:"written"`
}

// encode returns the value of the row.
func (r record) encode() ([]byte, error) {
	data, err := msgpack.Marshal(r)
	return data, errors.Wrap(err, "encode intent record")
}

// decodeRecord decodes the value of a row.
func decodeRecord(data []byte) (record, error) {
	var r record
	err := msgpack.Unmarshal(data, &r)
	return r, errors.Wrap(err, "decode intent record")
}
