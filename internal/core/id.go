package core

// NodeID identifies one gentiantided daemon, for example "luzon-a-1".
type NodeID string

// DataCentre is the name of a data centre, for example "luzon-a".
type DataCentre string

// Region is the name of a group of data centres, for example "luzon".
type Region string

// Org identifies an organisation of callers. Fair sharing and access control
// apply per organisation.
type Org string

// DeploymentID identifies a deployment: a set of replicas that serve one model or
// one plain service.
type DeploymentID string

// ReplicaID identifies one backend server of a deployment. It is unique in the
// fleet.
type ReplicaID string

// SoftwareVersion is the version of the software of a backend server, for example
// "v1". Replicas of several versions may serve side by side, and versions have no
// order. The empty version is one of its own.
type SoftwareVersion string

// JobID identifies a batch job.
type JobID string

// FileID identifies an uploaded input file.
type FileID string

// ReservationID identifies the reservation of one replica slot. It contains the
// holder node and its process start, so it is unique across nodes and restarts.
type ReservationID string
