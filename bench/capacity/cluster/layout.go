package cluster

import (
	"fmt"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/settings"
)

// Region is the name of the region of a cluster.
const Region = "bengal-east"

// deployments is the number of models of the design's table.
const deployments = 6

// Centre returns the name of a data centre.
func Centre(i int) core.DataCentre { return core.DataCentre(fmt.Sprintf("%s-%c", Region, 'a'+i)) }

// NodeID returns the id of a node.
func NodeID(centre, i int) core.NodeID {
	return core.NodeID(fmt.Sprintf("%s-node-%02d", Centre(centre), i))
}

// Replica returns the entry of a backend server in the fleet list.
func Replica(centre, i int) infra.VM {
	deployment := fmt.Sprintf("model-%d", i%deployments)
	return infra.VM{
		ID: fmt.Sprintf("%s-%s-%03d", deployment, Centre(centre), i), Kind: infra.KindBackend,
		DataCentre: string(Centre(centre)), Region: Region, Deployment: deployment,
		Address: fmt.Sprintf("10.%d.%d.%d:8000", centre, i/200, i%200),
	}
}

// Replicas returns the entries of all backend servers of a region.
func Replicas(centres, each int) []infra.VM {
	var out []infra.VM
	for c := range centres {
		for i := range each {
			out = append(out, Replica(c, i))
		}
	}
	return out
}

// Settings returns a snapshot with the deployments of a cluster.
func Settings() *settings.Snapshot {
	in := settings.SnapshotInput{Version: 1, DefaultOrg: settings.Organisation{Weight: 1}}
	for i := range deployments {
		name := fmt.Sprintf("model-%d", i)
		in.Deployments = append(in.Deployments, settings.Deployment{ID: core.DeploymentID(name), Kind: settings.KindModel,
			Model: name, MaxAttempts: 2, QueueLimit: 64, EjectRatio: 3, BatchEnabled: true, BatchHeadroom: 1})
	}
	return settings.NewSnapshot(in)
}

func snapshotOf(s *settings.Snapshot) func() *settings.Snapshot {
	return func() *settings.Snapshot { return s }
}
