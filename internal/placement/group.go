package placement

import (
	"math/bits"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"gentiantide.example/gentiantide/internal/core"
)

// groupSize is the largest number of replicas that one hub accounts for. A
// question looks at each of them, and a few hundred slots are enough for one to
// be free whenever there is room.
const groupSize = 96

// group is the replicas of a service that have one hub. Large services have
// several groups, to which replicas belong by their hash.
type group struct {
	//lint:ignore U1000 read by the codec
	_msgpack struct{} `msgpack:",as_array"`
	Service  core.DeploymentID
	// Index is the number of the group, Count that of all groups of the service.
	Index int
	Count int
}

// groupCount is the number of groups of a service, a power of two, so that it
// changes rarely while replicas come and go.
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

// name is the key by which nodes agree on the group's hub.
func (g group) name() string {
	if g.Count <= 1 {
		return string(g.Service)
	}
	return string(g.Service) + "/" + strconv.Itoa(g.Index) + "/" + strconv.Itoa(g.Count)
}
