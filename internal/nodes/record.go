package nodes

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Record is what a node writes about itself.
type Record struct {
	ID core.NodeID `msgpack:"id"`
	// Lifetime names this run of the process.
	Lifetime string `msgpack:"lifetime"`
	// Address is where other nodes reach it.
	Address string `msgpack:"address"`
	// DataCentre is where it runs.
	DataCentre core.DataCentre `msgpack:"data_centre"`
	// Processor is its share of the processor, in cores.
	Processor float64 `msgpack:"processor,omitempty"`
	// Until is the store's clock up to which the node counts as alive.
	Until time.Duration `msgpack:"until"`
}

// Owner names the run of the process as the owner of work.
func (r *Record) Owner() string { return string(r.ID) + "/" + r.Lifetime }
