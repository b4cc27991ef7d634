package membership

import "gentiantide.example/gentiantide/internal/core"

// Identity describes a node in the messages that the node itself sends, and in
// digests. See Member for its fields.
type Identity struct {
	ID          core.NodeID     `msgpack:"i"`
	DataCentre  core.DataCentre `msgpack:"d"`
	Region      core.Region     `msgpack:"r"`
	Address     string          `msgpack:"a"`
	Incarnation int64           `msgpack:"n"`
	Leaving     bool            `msgpack:"l,omitempty"`
}
