package placement

import "time"

// untrackedLoadTTL is how long untracked load counts without a new report. A
// replica in use reports several times a second.
const untrackedLoadTTL = 400 * time.Millisecond

// untrackedLoad is the work at a replica that no node has reported to this hub.
// It belongs to nodes that use another hub, or none, because they are cut off
// from the store or from this node.
type untrackedLoad struct {
	// last and previous are the differences between the work that the replica
	// reported and the work tracked by the hub, for its last two reports.
	last, previous int
	receivedAt     time.Time
}

// observe records the difference shown by one more report.
func (u untrackedLoad) observe(excess int, now time.Time) untrackedLoad {
	previous := 0
	if now.Sub(u.receivedAt) <= untrackedLoadTTL {
		previous = u.last
	}
	return untrackedLoad{last: max(0, excess), previous: previous, receivedAt: now}
}

// confirmed returns the untracked load that the last two reports agree on. A
// single report may include a request that has ended while the message about
// its end is still on the way to the hub.
func (u untrackedLoad) confirmed(now time.Time) int {
	if now.Sub(u.receivedAt) > untrackedLoadTTL {
		return 0
	}
	return min(u.last, u.previous)
}
