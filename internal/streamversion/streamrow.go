package streamversion

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// streamRow is the row of one stream.
type streamRow struct {
	Version core.SoftwareVersion `msgpack:"v"`
	// Unknown is set if the replica may have begun to run another version before its first
	// event.
	Unknown bool `msgpack:"x,omitempty"`
	// Begun is the time of the store's clock when the row was first sent.
	Begun time.Duration `msgpack:"b"`
	// Until is the time of the store's clock after which no caller takes the stream up.
	Until time.Duration `msgpack:"u"`
}
