package placement

import "time"

const (
	// rejectedRetention is how long the hub remembers a rejected request, and
	// maxRejected how many.
	rejectedRetention = 6 * time.Second
	maxRejected       = 4096
)

// rejectedRequests remembers the requests that were rejected lately, so that they are
// not rejected again when their callers return.
type rejectedRequests map[uint64]time.Time

func (r rejectedRequests) add(identity uint64, now time.Time) {
	if identity != 0 && len(r) < maxRejected {
		r[identity] = now
	}
}

// take reports whether a request was rejected before, and forgets it.
func (r rejectedRequests) take(identity uint64, now time.Time) bool {
	at, ok := r[identity]
	delete(r, identity)
	return ok && now.Sub(at) <= rejectedRetention
}

func (r rejectedRequests) expire(now time.Time) {
	for identity, at := range r {
		if now.Sub(at) > rejectedRetention {
			delete(r, identity)
		}
	}
}
