package node

import (
	"gentiantide.example/gentiantide/internal/directory"
	"gentiantide.example/gentiantide/internal/httpapi/operators"
	"gentiantide.example/gentiantide/internal/membership"
)

// fleetStatus returns the nodes and backend servers of the fleet with their state
// as this node sees it, for the operators' API.
func (n *Node) fleetStatus() operators.Fleet {
	members := n.members.Current()
	out := operators.Fleet{
		SeenBy: string(members.Self()), Nodes: []operators.FleetNode{}, Backends: []operators.FleetBackend{},
	}
	for _, m := range members.Members() {
		out.Nodes = append(out.Nodes, operators.FleetNode{
			ID: string(m.ID), DataCentre: string(m.DataCentre), Address: m.Address,
			State: m.State.String(), SettingsVersion: m.SettingsVersion,
		})
	}
	replicas := n.directory.Current().All()
	for i := range replicas {
		out.Backends = append(out.Backends, n.backendStatus(&replicas[i], members))
	}
	return out
}

// backendStatus returns the state of a backend server. One that is up but that the
// dispatcher of this node has ejected is shown as ejected.
func (n *Node) backendStatus(r *directory.Replica, members *membership.View) operators.FleetBackend {
	owner, _ := members.Owner(string(r.ID), r.DataCentre)
	drain := n.settings.Current().Backend(r.ID).Drain
	state, reason := r.State.String(), r.Reason
	switch {
	case r.State == directory.StateUp && n.dispatcher.Ejected(r.ID):
		state, reason = "ejected", "slower than the others of its deployment, or failing"
	case r.State == directory.StateUp:
		state = "live"
	case drain:
		state = "draining"
	}
	return operators.FleetBackend{
		ID: string(r.ID), Deployment: string(r.Deployment), DataCentre: string(r.DataCentre), Address: r.Address,
		State: state, Reason: reason, Drain: drain, Owner: string(owner),
		Slots: r.Slots, InFlight: r.InUse, Batch: r.Batch, Queued: r.Queued,
	}
}
