package core

// NodeID names one gentiantided process, for example "luzon-a-1".
type NodeID string

// DataCentre names a data centre, for example "luzon-a".
type DataCentre string

// Region names a group of data centres, for example "luzon".
type Region string

// Org names an organisation, the unit of fairness and of access.
type Org string

// DeploymentID names a deployment: a set of replicas that serve one model or
// one plain service.
type DeploymentID string

// ReplicaID names one backend server of a deployment. It is unique in the fleet.
type ReplicaID string

// JobID names a batch job.
type JobID string

// FileID names an uploaded input file.
type FileID string

// ReservationID names one use of a replica slot. It is unique per holder node
// and process start.
type ReservationID string
