package placement

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/nodes"
	"gentiantide.example/gentiantide/internal/promptcache"
)

const (
	// kindCounts is a one-way message from a node to the hub of a group.
	kindCounts = "placement.counts"
	// kindTotals is a one-way message from a hub to the nodes that report to
	// it.
	kindTotals = "placement.totals"
	// kindRequest is a call from a node to a hub, which answers it without
	// waiting for a free slot.
	kindRequest = "placement.ask"
	// kindProbe is a call from a node to a hub that failed to answer earlier.
	kindProbe = "placement.probe"
	// kindGrant is a one-way message from a hub to a node whose queued request
	// got a replica.
	kindGrant = "placement.granted"
	// kindWithdraw is a one-way message from a node: it cancels a queued
	// request or returns an unused grant.
	kindWithdraw = "placement.withdraw"
	// kindPreempt is a one-way message from a hub: it asks a node to preempt one
	// batch item.
	kindPreempt = "placement.yield"
	// kindSuspect is a one-way message that tells a hub that a replica
	// has stalled.
	kindSuspect = "placement.silent"
	// kindHub is a one-way message with which a hub makes itself known to the other
	// hubs of its groups.
	kindHub = "placement.hub"
)

// nodeCounts is the in-flight work of a node at the replicas of a group.
type nodeCounts struct {
	Group group `msgpack:"s"`
	// RunID is a random number per process, and Sequence counts its messages.
	// The hub uses both to ignore counts that arrive after newer ones.
	RunID    uint64          `msgpack:"u"`
	Sequence uint64          `msgpack:"n"`
	Replicas []replicaCounts `msgpack:"r"`
	Victims  []replicaVictim `msgpack:"v,omitempty"`
	// ConfirmedGrants are the grants that the counts already include.
	ConfirmedGrants []uint64 `msgpack:"g,omitempty"`
	// Notices are what the node knows that replicas have said, in some of the messages.
	Notices []replicaNotice `msgpack:"l,omitempty"`
	// Outcomes are the results of the node's runs that no hub was told yet.
	Outcomes []replicaOutcomes `msgpack:"o,omitempty"`
	// Standings are those that the node knows from another hub, in the first message to
	// a hub.
	Standings []replicaStanding `msgpack:"t,omitempty"`
}

// replicaOutcomes are the results of a node's runs at one replica since its last message.
type replicaOutcomes struct {
	//lint:ignore U1000 read by the codec
	_msgpack          struct{} `msgpack:",as_array"`
	ID                core.ReplicaID
	Succeeded, Failed int
	// SuccessAge is how long ago the last sent one of the node's successful runs was sent.
	SuccessAge time.Duration
	Unclear    int
}

// replicaStanding is what a hub knows of a replica that has failed, see outcomeRecord.
type replicaStanding struct {
	//lint:ignore U1000 read by the codec
	_msgpack struct{} `msgpack:",as_array"`
	ID       core.ReplicaID
	// Started tells the processes of a replica apart, as in its registration.
	Started           int64
	FailuresInRow     int
	Succeeded, Failed float64
	FailureAge        time.Duration
	OnProbation       bool
	FailedShare       float64
}

// replicaCounts is the in-flight work at one replica.
type replicaCounts struct {
	//lint:ignore U1000 read by the codec; encoding field names would double the size
	_msgpack struct{} `msgpack:",as_array"`
	ID       core.ReplicaID
	Online   int
	Batch    int
	// Slowdown is the processing time at the replica in hundredths of the
	// normal one. Reported is the number of requests that the replica itself
	// reports as running or waiting. Both come from a load report that has just
	// arrived, and are 0 without one.
	Slowdown int
	Reported int
}

// replicaVictim is the item of a node that is preempted first at a replica.
type replicaVictim struct {
	//lint:ignore U1000 read by the codec
	_msgpack struct{} `msgpack:",as_array"`
	// Index is the position of the replica in nodeCounts.Replicas.
	Index int
	// DueMS is when the item is due, in milliseconds of the store's clock. Late is
	// set if it cannot be done by then.
	DueMS int64
	Late  bool
}

// replicaNotice is what a node knows that a replica has said of itself in responses.
type replicaNotice struct {
	//lint:ignore U1000 read by the codec
	_msgpack struct{} `msgpack:",as_array"`
	ID       core.ReplicaID
	// Started tells the processes of a replica apart, as in its registration.
	Started int64
	Leaving bool
	// LimitKnown is set if the replica has named a limit, Limited while it does, and
	// Age is how long ago that was known to hold. The clocks of nodes differ.
	LimitKnown, Limited bool
	PerSecond           float64
	Age                 time.Duration
}

// placementRequest asks a hub for a replica.
type placementRequest struct {
	Group group `msgpack:"s"`
	// ID identifies the request at its node.
	ID         uint64          `msgpack:"i"`
	DataCentre core.DataCentre `msgpack:"d"`
	// Excluded are the replicas that the request must not go to: those that its
	// node has ejected after failures, followed by those that it was already
	// sent to.
	Excluded []core.ReplicaID `msgpack:"x,omitempty"`
	// NumEjected is the number of leading entries of Excluded that the node has
	// ejected.
	NumEjected int `msgpack:"a,omitempty"`
	// Version, if set, is the version of the software that the replica must have.
	Version *core.SoftwareVersion `msgpack:"q,omitempty"`
	// Waited is how long the request has waited, Objective the time in which
	// its response should begin, and MaxWait the time after which its caller
	// gives up, all since its arrival. They are sent as durations because the
	// clocks of nodes differ.
	Waited    time.Duration `msgpack:"w"`
	Objective time.Duration `msgpack:"o"`
	MaxWait   time.Duration `msgpack:"p"`
	// Identity is the same when the caller sends the request again, or 0.
	Identity uint64 `msgpack:"y,omitempty"`
	// Urgent is set for a stream that resumes after an interruption.
	Urgent bool `msgpack:"u,omitempty"`
	// Batch is set for an item of a job. DueIn is the time until the item is
	// due. Late is set if it cannot be done by then.
	Batch bool          `msgpack:"b,omitempty"`
	DueIn time.Duration `msgpack:"e,omitempty"`
	Late  bool          `msgpack:"l,omitempty"`
	// Org, Weight, Priority, Tokens and Repeatable are as in Query.
	Org        core.Org `msgpack:"k,omitempty"`
	Weight     float64  `msgpack:"h,omitempty"`
	Priority   int      `msgpack:"z,omitempty"`
	Tokens     int      `msgpack:"t,omitempty"`
	Repeatable bool     `msgpack:"f,omitempty"`
	// Prompt are the parts of the prompt, if replicas keep some.
	Prompt []promptcache.Part `msgpack:"j,omitempty"`
}

// outcome is the result of a placement request.
type outcome uint8

const (
	outcomeGranted outcome = iota + 1
	outcomeQueued
	// outcomeRejected means that the expected wait is longer than the caller
	// waits.
	outcomeRejected
	// outcomeNoReplica means that the hub knows no replica that may get the
	// request.
	outcomeNoReplica
)

// placementResponse answers a placementRequest.
type placementResponse struct {
	Outcome outcome        `msgpack:"v"`
	Replica core.ReplicaID `msgpack:"r,omitempty"`
	GrantID uint64         `msgpack:"g,omitempty"`
	// ExpectedWait is set if the request was rejected.
	ExpectedWait time.Duration `msgpack:"w,omitempty"`
}

// grantNotice tells a node which replica its queued request got, or that it is
// rejected.
type grantNotice struct {
	RequestID uint64         `msgpack:"i"`
	Replica   core.ReplicaID `msgpack:"r"`
	GrantID   uint64         `msgpack:"g"`
	// RejectedFor is the expected wait of a request that is rejected, else 0.
	RejectedFor time.Duration `msgpack:"w,omitempty"`
	// moved is set, within the node, if the request must ask the next hub.
	moved bool
}

// withdrawal cancels a queued request or returns an unused grant.
type withdrawal struct {
	Group     group  `msgpack:"s"`
	RequestID uint64 `msgpack:"i"`
}

// groupTotals is the in-flight work of all nodes at the replicas of a group.
type groupTotals struct {
	Group    group           `msgpack:"s"`
	Replicas []replicaCounts `msgpack:"r"`
	// Notices are what the hub knows that replicas have said, in some of the messages.
	Notices []replicaNotice `msgpack:"l,omitempty"`
	// First is the node that the hub takes for the first hub of the group, if that
	// is another one. Nodes that do not know of it use this hub.
	First *nodes.Record `msgpack:"f,omitempty"`
	// ServiceTime is how long an online request occupies its slot by what the hub has
	// measured, or 0. A node that becomes the hub begins with it.
	ServiceTime time.Duration `msgpack:"m,omitempty"`
	// Standings are those of the replicas that have failed.
	Standings []replicaStanding `msgpack:"t,omitempty"`
}

// preemption asks a node to preempt one batch item at a replica.
type preemption struct {
	Replica core.ReplicaID `msgpack:"i"`
}

// suspicion names a replica that has stalled: it stopped sending in the middle
// of its responses.
type suspicion struct {
	Replica core.ReplicaID `msgpack:"i"`
}
