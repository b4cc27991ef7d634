package membership

import "gentiantide.example/gentiantide/internal/core"

// Identity is what a node says of itself.
type Identity struct {
	ID          core.NodeID     `msgpack:"i"`
	DataCentre  core.DataCentre `msgpack:"d"`
	Region      core.Region     `msgpack:"r"`
	Address     string          `msgpack:"a"`
	Incarnation int64           `msgpack:"n"`
	Leaving     bool            `msgpack:"l,omitempty"`
}
