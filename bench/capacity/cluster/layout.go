package cluster

import (
	"fmt"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/settings"
)

// Region is the region of every cluster.
const Region = "bengal-east"

// deploymentCount is the number of models in the design's capacity table.
const deploymentCount = 6

// DataCentreID returns the id of the i-th data centre.
func DataCentreID(i int) core.DataCentre { return core.DataCentre(fmt.Sprintf("%s-%c", Region, 'a'+i)) }

// NodeID returns the id of the i-th node of a data centre.
func NodeID(dc, i int) core.NodeID {
	return core.NodeID(fmt.Sprintf("%s-node-%02d", DataCentreID(dc), i))
}

// Replica returns the fleet list entry of the i-th backend server of a data
// centre.
func Replica(dc, i int) infra.VM {
	deployment := fmt.Sprintf("model-%d", i%deploymentCount)
	return infra.VM{
		ID: fmt.Sprintf("%s-%s-%03d", deployment, DataCentreID(dc), i), Kind: infra.KindBackend,
		DataCentre: string(DataCentreID(dc)), Region: Region, Deployment: deployment,
		Address: fmt.Sprintf("10.%d.%d.%d:8000", dc, i/200, i%200),
	}
}

// Replicas returns the fleet list entries of all backend servers of a region with
// the given number of data centres and of backend servers in each.
func Replicas(dataCentres, each int) []infra.VM {
	var out []infra.VM
	for c := range dataCentres {
		for i := range each {
			out = append(out, Replica(c, i))
		}
	}
	return out
}

// Settings returns a settings snapshot with the deployments of a cluster.
func Settings() *settings.Snapshot {
	in := settings.SnapshotInput{Version: 1, DefaultOrg: settings.Organisation{Weight: 1}}
	for i := range deploymentCount {
		name := fmt.Sprintf("model-%d", i)
		in.Deployments = append(in.Deployments, settings.Deployment{ID: core.DeploymentID(name), Kind: settings.KindModel,
			Model: name, MaxAttempts: 2, QueueLimit: 64, EjectRatio: 3, BatchEnabled: true, BatchHeadroom: 1})
	}
	return settings.NewSnapshot(in)
}

func constantSnapshot(s *settings.Snapshot) func() *settings.Snapshot {
	return func() *settings.Snapshot { return s }
}
