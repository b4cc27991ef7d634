package owner

import "gentiantide.example/gentiantide/internal/core"

// Counters counts the operations of a ledger since its creation. The arrays are
// indexed by class.
type Counters struct {
	Granted [2]uint64 `json:"granted"`
	Queued  [2]uint64 `json:"queued"`
	Refused [2]uint64 `json:"refused"`
	// GrantedLater counts the requests that were granted a slot from the queue.
	GrantedLater uint64 `json:"granted_later"`
	Expired      uint64 `json:"expired"`
	Evicted      uint64 `json:"evicted"`
	Preempted    uint64 `json:"preempted"`
	Released     uint64 `json:"released"`
	Registered   uint64 `json:"registered"`
	// Dropped counts the reservations that were removed because their holder is
	// down or no longer lists them.
	Dropped uint64 `json:"dropped"`
}

func (c *Counters) countVerdict(class core.Class, v Verdict) {
	class = min(class, core.ClassBatch)
	switch v {
	case VerdictGranted:
		c.Granted[class]++
	case VerdictQueued:
		c.Queued[class]++
	default:
		c.Refused[class]++
	}
}
