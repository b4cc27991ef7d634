package placement

import "time"

// unseenTTL is how long reported work that no node told of counts. Reports come
// several times a second from a replica that is in use.
const unseenTTL = 400 * time.Millisecond

// unseen is the work at a replica that the hub is not told of: that of nodes
// which ask another hub, or none, because they are cut off from the store or
// from this node.
type unseen struct {
	// last and before are what the last two reports showed beyond what was told.
	last, before int
	at           time.Time
}

// learn takes one more report.
func (u unseen) learn(beyond int, now time.Time) unseen {
	before := 0
	if now.Sub(u.at) <= unseenTTL {
		before = u.last
	}
	return unseen{last: max(0, beyond), before: before, at: now}
}

// work is what two reports in a row agree on: one alone may show a request that
// ended while its end was on the way here.
func (u unseen) work(now time.Time) int {
	if now.Sub(u.at) > unseenTTL {
		return 0
	}
	return min(u.last, u.before)
}
