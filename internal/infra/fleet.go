package infra

import "context"

// VMKind says what runs on a VM of the fleet list.
type VMKind string

const (
	// KindNode is a VM that runs the daemon gentiantided.
	KindNode VMKind = "node"
	// KindBackend is a VM that runs a backend server.
	KindBackend VMKind = "backend"
)

// VM is one entry of the fleet list.
type VM struct {
	ID         string `json:"id"`
	Kind       VMKind `json:"kind"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// Address is the IP and port of the peer listener of a node, or the IP and
	// port of a backend server.
	Address string `json:"address"`
	// Deployment names the deployment that a backend server belongs to.
	Deployment string `json:"deployment,omitempty"`
	// Leaving is true once the platform has announced the VM's removal.
	Leaving bool `json:"leaving,omitempty"`
}

// FleetList is the platform's list of live and leaving VMs. It lags behind the
// actual fleet by several seconds.
type FleetList interface {
	// List returns all VMs of the fleet. Errors: ErrUnavailable.
	List(ctx context.Context) ([]VM, error)
}
