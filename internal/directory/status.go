package directory

import (
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
)

// Status is what the owner of a replica publishes about it.
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
		return nil // a slice of plain fields always encodes
	}
	return data
}

func decodeStatus(data []byte) ([]Status, error) {
	var list []Status
	err := msgpack.Unmarshal(data, &list)
	return list, err
}
