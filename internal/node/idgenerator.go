package node

import (
	"strconv"
	"sync/atomic"

	"gentiantide.example/gentiantide/internal/core"
)

// idGenerator generates IDs that are unique in the fleet and over restarts. They
// consist of the node ID, the start time of the process and a counter.
type idGenerator struct {
	prefix  string
	counter atomic.Uint64
}

func newIDGenerator(node core.NodeID, incarnation int64) *idGenerator {
	return &idGenerator{prefix: string(node) + "-" + strconv.FormatInt(incarnation, 36) + "-"}
}

func (s *idGenerator) new() string {
	return s.prefix + strconv.FormatUint(s.counter.Add(1), 36)
}
