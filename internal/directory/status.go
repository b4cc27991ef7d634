package directory

import (
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
)

// Status is the information that the owner of a replica publishes about it. It is
// encoded as an array, so that the order of the fields is part of the format.
type Status struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`

	Replica core.ReplicaID
	State   State
	Reason  string
	Slots   int
	InUse   int
	Batch   int
	Queued  int
}

func encodeStatus(list []Status) []byte {
	if len(list) == 0 {
		return nil
	}
	data, err := msgpack.Marshal(list)
	if err != nil {
		return nil // unreachable: the encoding of strings and integers cannot fail
	}
	return data
}

func decodeStatus(data []byte) ([]Status, error) {
	var list []Status
	err := msgpack.Unmarshal(data, &list)
	return list, err
}
