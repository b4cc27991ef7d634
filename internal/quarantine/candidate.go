package quarantine

import "time"

// candidate is a part that crashes have in common.
type candidate struct {
	part Part
	// depth is the position of the part in the prompts.
	depth int
	// first and last are the indices of the first and the last of its crashes, and
	// crashes is their number.
	first, last, crashes int
	// harmless is set if a run with the part has proved harmless at some time.
	harmless bool
	// moments are the times of its crashes, without those in the same moment as the one
	// before.
	moments []time.Time
	// carriers are the requests with the part that have been counted. convicted is the
	// number of those that are quarantined, and other that of the moments without them.
	carriers         map[Part]bool
	convicted, other int
	// in are the indices of the crashes of a request. rival is set if another suspect is in
	// all crashes of the candidate, so that either may have caused them.
	in    []int
	rival bool
}

// observe counts the crash with an index for the candidate. convicted is set if the crash
// is that of a quarantined request.
func (c *candidate) observe(index, depth int, crash openCrash, convicted bool) {
	c.depth = max(c.depth, depth)
	if c.last == index {
		return
	}
	c.last = index
	c.crashes++
	if n := len(c.moments); n == 0 || crash.at.Sub(c.moments[n-1]) >= crash.moment {
		c.moments = append(c.moments, crash.at)
		if !convicted {
			c.other++
		}
	}
}

// series returns how many crashes of the candidate are no coincidence. Of those in the
// same moment one counts, as replicas fail together with a rack or a switch. Each crash
// counts of a request that has never proved harmless: it may be at several replicas at
// once, and no other request is in its crashes by chance for long without proving
// harmless. What has been harmless is hardly the cause of the crashes of quarantined
// requests, so that these do not add to others.
func (c *candidate) series() int {
	switch {
	case c.harmless:
		return max(c.convicted, c.other)
	case c.part.isRequest():
		return c.crashes
	case c.convicted >= minConvictions:
		return max(minCrashes, len(c.moments))
	default:
		return len(c.moments)
	}
}

// convincing reports whether the crashes suffice for a decision. anyProof is when the
// latest run with any part began that proved harmless. A request need not explain a
// share of all crashes: many may crash replicas at the same time.
func (c *candidate) convincing(anyProof time.Time) bool {
	share := float64(c.crashes) / float64(c.last-c.first+1)
	return c.series() >= certainCrashes ||
		c.series() >= minCrashes && (c.part.isRequest() || share >= minShare) && anyProof.After(c.moments[0])
}

// dueAt returns when the candidate can be decided on.
func (c *candidate) dueAt() time.Time {
	if len(c.moments) >= manyCrashes {
		return c.moments[0].Add(shortObservationTime)
	}
	return c.moments[0].Add(observationTime)
}
