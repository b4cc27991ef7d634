package orders

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
)

const permitPrefix = "weights/permit/"

// permitRow is the value of a permit's row in the table service. A permit
// without a row is free.
type permitRow struct {
	// Holder is empty after the last holder handed the permit over to the
	// current owner of the replica. The load may still be running.
	Holder core.NodeID `msgpack:"holder"`
	// Token is unique to each acquisition of a permit.
	Token   string         `msgpack:"token"`
	Replica core.ReplicaID `msgpack:"replica"`
	// Number is the fencing number of the order that the permit was acquired
	// for.
	Number uint64 `msgpack:"number"`
	// Counter increases with each attempted renewal.
	Counter uint64 `msgpack:"counter"`
}

func permitKey(index int) string { return permitPrefix + strconv.Itoa(index) }

func permitIndex(key string) (int, error) {
	return strconv.Atoi(strings.TrimPrefix(key, permitPrefix))
}

func (r permitRow) encode() ([]byte, error) {
	data, err := msgpack.Marshal(r)
	return data, errors.Wrap(err, "encode permit row")
}

func decodePermit(key string, data []byte) (permitRow, error) {
	var r permitRow
	err := msgpack.Unmarshal(data, &r)
	return r, errors.Wrap(err, fmt.Sprintf("decode permit row %s", key))
}
