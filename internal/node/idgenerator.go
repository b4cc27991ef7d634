package node

import (
	"strconv"
	"sync/atomic"

	"gentiantide.example/gentiantide/internal/core"
)

// idSource makes ids that are unique in the fleet and over restarts: the node,
// its start time and a counter.
type idSource struct {
	prefix string
	next   atomic.Uint64
}

func newIDSource(node core.NodeID, incarnation int64) *idSource {
	return &idSource{prefix: string(node) + "-" + strconv.FormatInt(incarnation, 36) + "-"}
}

func (s *idSource) new() string {
	return s.prefix + strconv.FormatUint(s.next.Add(1), 36)
}
