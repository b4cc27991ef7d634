package node

import (
	"gentiantide.example/gentiantide/internal/directory"
	"gentiantide.example/gentiantide/internal/membership"
)

// NodeStatus is one node in the operators' list of the fleet.
type NodeStatus struct {
	ID              string `json:"id"`
	DataCentre      string `json:"data_centre"`
	Address         string `json:"address"`
	State           string `json:"state"`
	SettingsVersion uint64 `json:"settings_version"`
}

// BackendStatus is one backend server in the operators' list of the fleet.
type BackendStatus struct {
	ID         string `json:"id"`
	Deployment string `json:"deployment"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	State      string `json:"state"`
	// Reason says why the state is not up.
	Reason string `json:"reason,omitempty"`
	Owner  string `json:"owner,omitempty"`
	Slots  int    `json:"slots"`
	InUse  int    `json:"in_use"`
	Batch  int    `json:"batch"`
	Queued int    `json:"queued"`
}

// FleetStatus is the operators' list of the fleet as one node sees it.
type FleetStatus struct {
	SeenBy   string          `json:"seen_by"`
	Nodes    []NodeStatus    `json:"nodes"`
	Backends []BackendStatus `json:"backends"`
}

func fleetStatus(members *membership.View, replicas *directory.View) FleetStatus {
	out := FleetStatus{SeenBy: string(members.Self()), Nodes: []NodeStatus{}, Backends: []BackendStatus{}}
	for _, m := range members.Members() {
		out.Nodes = append(out.Nodes, NodeStatus{
			ID: string(m.ID), DataCentre: string(m.DataCentre), Address: m.Address,
			State: m.State.String(), SettingsVersion: m.SettingsVersion,
		})
	}
	for i := range replicas.All() {
		r := &replicas.All()[i]
		owner, _ := members.Owner(string(r.ID), r.DataCentre)
		out.Backends = append(out.Backends, BackendStatus{
			ID: string(r.ID), Deployment: string(r.Deployment), DataCentre: string(r.DataCentre),
			Address: r.Address, State: r.State.String(), Reason: r.Reason, Owner: string(owner),
			Slots: r.Slots, InUse: r.InUse, Batch: r.Batch, Queued: r.Queued,
		})
	}
	return out
}
