package placement

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// kindCounts is a one-way message of a node to the hub of a group.
	kindCounts = "placement.counts"
	// kindTotals is a one-way message of a hub to all nodes.
	kindTotals = "placement.totals"
	// kindAsk is a call of a node to a hub; the answer is immediate.
	kindAsk = "placement.ask"
	// kindProbe is a call of a node to a hub that did not answer before.
	kindProbe = "placement.probe"
	// kindGranted is a one-way message of a hub to a node whose request waited.
	kindGranted = "placement.granted"
	// kindWithdraw is a one-way message of a node: a request does not wait any
	// more, or its grant is not used.
	kindWithdraw = "placement.withdraw"
	// kindYield asks a node to let one item of batch work give way.
	kindYield = "placement.yield"
	// kindSilent tells that a replica went silent in the middle of answers.
	kindSilent = "placement.silent"
)

// counts is all work of a node at the replicas of a group.
type counts struct {
	Group group `msgpack:"s"`
	// Run is a random number of the process, Serial counts its messages:
	// messages may overtake each other.
	Run      uint64  `msgpack:"u"`
	Serial   uint64  `msgpack:"n"`
	Replicas []count `msgpack:"r"`
	// Seen are the grants that the counts include.
	Seen []uint64 `msgpack:"g,omitempty"`
}

// count is a node's work at one replica.
type count struct {
	//lint:ignore U1000 read by the codec: field names would double the size
	_msgpack struct{} `msgpack:",as_array"`
	ID       core.ReplicaID
	Online   int
	Batch    int
	// Slowdown is how long work takes at the replica in hundredths of the usual
	// and Reported is its work, running and waiting, both by a report of this
	// moment; 0 if there is none.
	Slowdown int
	Reported int
}

// ask is a request that needs a replica.
type ask struct {
	Group group `msgpack:"s"`
	// ID names the request at its node.
	ID         uint64          `msgpack:"i"`
	DataCentre core.DataCentre `msgpack:"d"`
	// Not are replicas that the request must not go to: those that it was sent
	// to, and those that its node avoids after failures.
	Not []core.ReplicaID `msgpack:"x,omitempty"`
	// Avoided is the number of entries of Not that the node avoids.
	Avoided int `msgpack:"a,omitempty"`
	// Waited is how long the request has waited, Objective the time in which it
	// should begin and Patience the time after which its caller leaves, all
	// from its arrival. Durations travel because the clocks of nodes differ.
	Waited    time.Duration `msgpack:"w"`
	Objective time.Duration `msgpack:"o"`
	Patience  time.Duration `msgpack:"p"`
	// Urgent is set for a stream that goes on after a break.
	Urgent bool `msgpack:"u,omitempty"`
	// Batch is set for an item of a job. DueIn is the time until it is due, Late
	// is set if it cannot be done by then.
	Batch bool          `msgpack:"b,omitempty"`
	DueIn time.Duration `msgpack:"e,omitempty"`
	Late  bool          `msgpack:"l,omitempty"`
}

// verdict is the answer to a request that needs a replica.
type verdict uint8

const (
	verdictGranted verdict = iota + 1
	verdictQueued
	// verdictRefused: the request would wait for longer than its caller does.
	verdictRefused
	// verdictNone: the hub knows no replica that may get the request.
	verdictNone
)

// askAnswer answers an ask.
type askAnswer struct {
	Verdict verdict        `msgpack:"v"`
	Replica core.ReplicaID `msgpack:"r,omitempty"`
	Grant   uint64         `msgpack:"g,omitempty"`
	// Wait is the expected wait of a request that was refused.
	Wait time.Duration `msgpack:"w,omitempty"`
}

// granted tells a node that a request that waited has a replica.
type granted struct {
	ID      uint64         `msgpack:"i"`
	Replica core.ReplicaID `msgpack:"r"`
	Grant   uint64         `msgpack:"g"`
}

// withdraw ends a request that waits, or a grant that is not used.
type withdraw struct {
	Group group  `msgpack:"s"`
	ID    uint64 `msgpack:"i"`
}

// totals is the work of all nodes at the replicas of a group.
type totals struct {
	Group    group   `msgpack:"s"`
	Replicas []count `msgpack:"r"`
}

// yield asks a node to let one item of batch work at a replica give way.
type yield struct {
	Replica core.ReplicaID `msgpack:"i"`
}

// silent tells that a replica went silent in the middle of answers.
type silent struct {
	Replica core.ReplicaID `msgpack:"i"`
}
