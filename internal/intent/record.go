package intent

import (
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// record is the value of an intent row.
type record struct {
	State   State  `msgpack:"state"`
	Attempt string `msgpack:"attempt"`
	Digest  Digest `msgpack:"digest"`
	// Response is set in StateDone unless it was too large to keep.
	Response *Response `msgpack:"answer,omitempty"`
	// WrittenAt is the time of the write on the writer's clock; the retention of
	// the row counts from it.
	WrittenAt time.Time `msgpack:"written"`
}

func (r record) encode() ([]byte, error) {
	data, err := msgpack.Marshal(r)
	return data, errors.Wrap(err, "encoding an intent")
}

func decodeRecord(data []byte) (record, error) {
	var r record
	err := msgpack.Unmarshal(data, &r)
	return r, errors.Wrap(err, "decoding an intent")
}
