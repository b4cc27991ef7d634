package records

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Encode returns the msgpack form of a record. Records always encode.
func Encode(record any) []byte {
	data, err := msgpack.Marshal(record)
	if err != nil {
		panic(errors.Wrap(err, "encode record"))
	}
	return data
}

// Decode reads a record.
func Decode[T any](data []byte) (T, error) {
	var out T
	err := msgpack.Unmarshal(data, &out)
	return out, errors.Wrap(err, "decode record")
}
