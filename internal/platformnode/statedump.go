package platformnode

import (
	"time"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/httpapi/operators"
	"gentiantide.example/gentiantide/internal/quota"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/streamversion"
)

// dumpState is the state of the process as shown by the state dump.
type dumpState struct {
	Node          string `json:"node"`
	Lifetime      string `json:"lifetime"`
	ConfigVersion int64  `json:"config_version"`
	// ConfigAgeMS is the time since the store last confirmed the configuration, or -1
	// if it has not.
	ConfigAgeMS int64 `json:"config_age_ms"`
	// ConfigConfirmedAgeMS is the same if peers that had it from the store count, too.
	ConfigConfirmedAgeMS int64 `json:"config_confirmed_age_ms"`
	Stopping             bool  `json:"stopping"`
	InFlight             int64 `json:"in_flight"`
	// Panics is the number of panics that were contained since the start.
	Panics       int64         `json:"panics"`
	StoreClockMS int64         `json:"store_clock_ms"`
	Jobs         int           `json:"jobs"`
	ItemsPending int           `json:"items_pending"`
	ItemsRunning int           `json:"items_running"`
	Replicas     []dumpReplica `json:"replicas"`
	Nodes        []string      `json:"nodes"`
	// Quarantine are the parts of prompts that crash replicas.
	Quarantine []operators.QuarantinedPart `json:"quarantine"`
	// StreamVersions are the versions of the services' software at which streams began.
	StreamVersions streamversion.Dump `json:"stream_versions"`
	// Limits are the limits of organisations whose ledgers this node keeps.
	Limits []quota.Use `json:"limits,omitempty"`
}

// dumpReplica is one replica in the state dump.
type dumpReplica struct {
	replica.Info
	Busy    float64 `json:"busy"`
	Avoided bool    `json:"avoided"`
	// SaidLeaving is set if the replica has said in a response that it is leaving.
	// Leaving, of its registration, is what the store says.
	SaidLeaving bool `json:"said_leaving"`
	// LimitPerSecond is the request rate that the replica names, and absent if it names
	// none.
	LimitPerSecond *float64 `json:"limit_per_second,omitempty"`
}

// stateDump returns the current state of the process.
func (n *Node) stateDump() dumpState {
	now := time.Now()
	clock, _ := n.store.Clock()
	state := dumpState{
		Node: string(n.settings.Node), Lifetime: n.nodes.Self().Lifetime, Stopping: n.stopping.Load(),
		InFlight: n.counters.InFlight(), Panics: contain.Count(), StoreClockMS: clock.Milliseconds(),
	}
	if table := n.configs.Table.Load(); table != nil {
		state.ConfigVersion = table.Version
	}
	state.ConfigAgeMS = -1
	if age, ok := n.configWatcher.ContactAge(now); ok {
		state.ConfigAgeMS = age.Milliseconds()
	}
	state.ConfigConfirmedAgeMS = -1
	if age, ok := n.configAge(now); ok {
		state.ConfigConfirmedAgeMS = age.Milliseconds()
	}
	state.Jobs, state.ItemsPending, state.ItemsRunning = n.jobs.Counts()
	for _, r := range n.registry.All() {
		shown := dumpReplica{Info: *r.Info(), Busy: r.EstimatedLoad(now), Avoided: r.Ejected(now), SaidLeaving: r.SaidLeaving()}
		if limit, ok := r.Limit(); ok && limit.Named {
			shown.LimitPerSecond = &limit.PerSecond
		}
		state.Replicas = append(state.Replicas, shown)
	}
	for owner := range n.nodes.View().Alive {
		state.Nodes = append(state.Nodes, owner)
	}
	state.Quarantine = operatorsQuarantine{n.quarantine}.List()
	state.StreamVersions = n.versions.Dump()
	state.Limits = n.quota.Snapshot()
	return state
}
