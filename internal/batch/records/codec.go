package records

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Encode returns the msgpack encoding of a record. It panics on an error, since
// every type of this package can be encoded.
func Encode(record any) []byte {
	data, err := msgpack.Marshal(record)
	if err != nil {
		panic(errors.Wrap(err, "encode record"))
	}
	return data
}

// Decode decodes a record of type T from msgpack.
func Decode[T any](data []byte) (T, error) {
	var out T
	err := msgpack.Unmarshal(data, &out)
	return out, errors.Wrap(err, "decode record")
}
