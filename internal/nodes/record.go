package nodes

import (
	"math"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/wire"
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
	// Settings is the version of the settings file that the process has read last, and
	// SettingsWait is set if something of it waits for a restart.
	Settings     uint64 `msgpack:"settings,omitempty"`
	SettingsWait bool   `msgpack:"settings_wait,omitempty"`
	// Until is the time of the store's clock at which the node's lease ends.
	Until time.Duration `msgpack:"until"`
}

// Owner identifies this run of the process as the owner of jobs.
func (r *Record) Owner() string { return string(r.ID) + "/" + r.Lifetime }

// decodeRecord parses the row of a node. It returns an error for one that no node wrote.
func decodeRecord(row *infra.VersionedRow) (Record, error) {
	var record Record
	if err := wire.Unmarshal(row.Value, &record); err != nil {
		return Record{}, err
	}
	switch cores := record.CPUCores; {
	case string(record.ID) != row.Key:
		return Record{}, errors.New("record has another ID than its row")
	case !(cores >= 0) || math.IsInf(cores, 0):
		return Record{}, errors.New("processor share is out of range")
	}
	return record, nil
}
