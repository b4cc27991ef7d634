package nodes

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Record is the content of a node's row. Each node writes its own.
type Record struct {
	ID core.NodeID `msgpack:"id"`
	// Lifetime identifies one run of the process.
	Lifetime string `msgpack:"lifetime"`
	// Address is the address of the node's peer listener.
	Address string `msgpack:"address"`
	// DataCentre is the data centre in which the node runs.
	DataCentre core.DataCentre `msgpack:"data_centre"`
	// CPUCores is the node's CPU share, in cores.
	CPUCores float64 `msgpack:"processor,omitempty"`
	// Stopping is set while the process stops. It still serves, and takes no jobs.
	Stopping bool `msgpack:"stopping,omitempty"`
	// Until is the time of the store's clock at which the node's lease ends.
	Until time.Duration `msgpack:"until"`
}

// Owner identifies this run of the process as the owner of jobs.
func (r *Record) Owner() string { return string(r.ID) + "/" + r.Lifetime }
