package node

import (
	"runtime"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/httpapi/operators"
	"gentiantide.example/gentiantide/internal/settings"
)

// Dump is the state of a gentiantided process as the operators' API returns it.
type Dump struct {
	At         time.Time                     `json:"at"`
	Node       core.NodeID                   `json:"node"`
	Version    string                        `json:"version"`
	Started    time.Time                     `json:"started"`
	Stopping   bool                          `json:"stopping"`
	Goroutines int                           `json:"goroutines"`
	HeapBytes  uint64                        `json:"heap_bytes"`
	PeerSent   int64                         `json:"peer_bytes_sent"`
	PeerRead   int64                         `json:"peer_bytes_read"`
	Settings   settings.Status               `json:"settings"`
	Fleet      operators.Fleet               `json:"fleet"`
	Owner      any                           `json:"owner"`
	Dispatch   any                           `json:"dispatch"`
	Batch      any                           `json:"batch"`
	Orders     any                           `json:"orders"`
	Retention  any                           `json:"retention"`
	Budgets    map[core.DeploymentID]float64 `json:"retry_budgets"`
}

func (n *Node) dump() any {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	sent, read := n.transport.Traffic()
	return Dump{
		At: time.Now().UTC(), Node: n.cfg.ID, Version: core.Version, Started: n.started.UTC(),
		Stopping: n.stopping.Load(), Goroutines: runtime.NumGoroutine(), HeapBytes: memory.HeapAlloc,
		PeerSent: sent, PeerRead: read, Settings: n.settings.Status(),
		Fleet: n.fleetStatus(),
		Owner: n.owner.Dump(), Dispatch: n.dispatcher.Dump(), Batch: n.batch.Dump(), Orders: n.orders.Dump(),
		Retention: n.retention.Dump(),
		Budgets:   n.retryBudgets.dump(),
	}
}
