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

// permitRow is the value of a permit's row. An absent row is a free permit.
type permitRow struct {
	// Holder is empty when the last holder has handed the permit over to the
	// present owner of the replica, whose load may still be running.
	Holder core.NodeID `msgpack:"holder"`
	// Token is unique for each time that a permit is taken.
	Token   string         `msgpack:"token"`
	Replica core.ReplicaID `msgpack:"replica"`
	// Number is the fencing number of the order that the permit was taken for.
	Number uint64 `msgpack:"number"`
	// Counter rises with each renewal.
	Counter uint64 `msgpack:"counter"`
}

func permitKey(index int) string { return permitPrefix + strconv.Itoa(index) }

func permitIndex(key string) (int, error) {
	return strconv.Atoi(strings.TrimPrefix(key, permitPrefix))
}

func (r permitRow) encode() ([]byte, error) {
	data, err := msgpack.Marshal(r)
	return data, errors.Wrap(err, "encoding a permit")
}

func decodePermit(key string, data []byte) (permitRow, error) {
	var r permitRow
	err := msgpack.Unmarshal(data, &r)
	return r, errors.Wrap(err, fmt.Sprintf("decoding the permit %s", key))
}
