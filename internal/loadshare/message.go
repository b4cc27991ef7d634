package loadshare

import "gentiantide.example/gentiantide/internal/core"

const (
	kindCounts = "load.counts"
	kindYield  = "load.yield"
	kindSilent = "load.silent"
)

// counts is what a node has at the replicas where it has work.
type counts struct {
	Replicas []count `msgpack:"r"`
}

// count is a node's work at one replica.
type count struct {
	//lint:ignore U1000 read by the codec: field names would double the size
	_msgpack struct{} `msgpack:",as_array"`
	ID       core.ReplicaID
	Online   int
	Batch    int
}

// yield asks a node to let one item of batch work at a replica give way.
type yield struct {
	Replica core.ReplicaID `msgpack:"i"`
}

// silent tells that a replica went silent in the middle of answers.
type silent struct {
	Replica core.ReplicaID `msgpack:"i"`
}
