package placement

import (
	"math/bits"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"gentiantide.example/gentiantide/internal/core"
)

// groupSize is the largest average number of replicas per group. A hub scans
// all replicas of a group for each request. The few hundred slots of a group are
// enough that one is free whenever the service has spare capacity.
const groupSize = 96

// group is a shard of the replicas of a service that is managed by one hub.
// Large services have several groups, and replicas are assigned to them by
// hash.
type group struct {
	//lint:ignore U1000 read by the codec
	_msgpack struct{} `msgpack:",as_array"`
	Service  core.DeploymentID
	// Index is the number of the group, and Count the number of groups of the
	// service.
	Index int
	Count int
}

// groupCount returns the number of groups of a service. It is a power of two,
// so that it changes rarely while replicas come and go.
func groupCount(replicas int) int {
	if replicas <= groupSize {
		return 1
	}
	return 1 << bits.Len(uint((replicas-1)/groupSize))
}

// groupOf returns the group that a replica belongs to.
func groupOf(service core.DeploymentID, id core.ReplicaID, count int) group {
	g := group{Service: service, Count: count}
	if count > 1 {
		g.Index = int(xxhash.Sum64String(string(id)) % uint64(count))
	}
	return g
}

// key identifies the group in logs and in the hash that selects its hub. It
// must be the same on all nodes.
func (g group) key() string {
	if g.Count <= 1 {
		return string(g.Service)
	}
	return string(g.Service) + "/" + strconv.Itoa(g.Index) + "/" + strconv.Itoa(g.Count)
}
