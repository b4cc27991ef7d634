package replica

import "gentiantide.example/gentiantide/internal/core"

// Software is what a replica runs. Only replicas with the same software can go on with
// each other's output; the versions of two services cannot be compared.
type Software struct {
	Service core.DeploymentID    `msgpack:"s"`
	Version core.SoftwareVersion `msgpack:"v"`
}

// Software returns what the replica runs.
func (i *Info) Software() Software { return Software{Service: i.Service, Version: i.Version} }
