package quarantine

import (
	"cmp"
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// minCrashes is the number of crashes, at different moments and without a
	// harmless run in between, for which a part is quarantined.
	minCrashes = 3
	// minCrashesUnproved is the same while no run with any part proves harmless, as
	// in an outage of all replicas. It is larger because nothing tells the crashing
	// part from the others then.
	minCrashesUnproved = 6
	// observationTime is the time from the first of these crashes to the decision.
	// Parts that many requests share prove harmless within it.
	observationTime = time.Second
	// momentLength is the time within which crashes count as one. Replicas that fail
	// together, with a rack or a switch, were not crashed by a request.
	momentLength = 100 * time.Millisecond
	// sameCrashTime is the time within which reports about a replica belong to the
	// same crash.
	sameCrashTime = time.Second
	// crashRetention is how long a crash counts.
	crashRetention = 10 * time.Minute
	// maxCrashes and maxSuspects bound the memory of the tally: crashes, and runs for
	// each of them.
	maxCrashes  = 256
	maxSuspects = 64
)

// crashTally finds the parts that crashing requests have in common.
type crashTally struct {
	crashes []*crash // in the order of time
}

// crash is one crash of a replica with the runs that may have caused it.
type crash struct {
	replica  core.ReplicaID
	at       time.Time
	suspects [][]Part
}

// candidate is a part that several crashes have in common.
type candidate struct {
	part Part
	// depth is the position of the part in the prompts. Later parts are more
	// specific: they follow fewer different prompts.
	depth int
	// moments are the times of the crashes that have it, each momentLength or more
	// after the one before.
	moments []time.Time
}

// add adds a run that was at a replica when it crashed.
func (t *crashTally) add(replica core.ReplicaID, suspect []Part, now time.Time) {
	t.expire(now)
	for _, c := range t.crashes {
		if c.replica == replica && now.Sub(c.at) < sameCrashTime {
			if len(c.suspects) < maxSuspects {
				c.suspects = append(c.suspects, suspect)
			}
			return
		}
	}
	t.crashes = append(t.crashes, &crash{replica: replica, at: now, suspects: [][]Part{suspect}})
}

func (t *crashTally) expire(now time.Time) {
	first := max(0, len(t.crashes)-maxCrashes+1)
	for first < len(t.crashes) && now.Sub(t.crashes[first].at) > crashRetention {
		first++
	}
	t.crashes = slices.Delete(t.crashes, 0, first)
}

// candidates returns the parts that minCrashes crashes have in common, the most
// specific ones first.
func (t *crashTally) candidates() []candidate {
	found := make(map[Part]*candidate)
	for _, c := range t.crashes {
		for _, suspect := range c.suspects {
			for depth, part := range suspect {
				if found[part] == nil {
					found[part] = &candidate{part: part}
				}
				found[part].observe(depth, c.at)
			}
		}
	}
	var out []candidate
	for _, c := range found {
		if len(c.moments) >= minCrashes {
			out = append(out, *c)
		}
	}
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.depth, a.depth), cmp.Compare(len(b.moments), len(a.moments)), cmp.Compare(a.part, b.part))
	})
	return out
}

func (c *candidate) observe(depth int, at time.Time) {
	c.depth = max(c.depth, depth)
	if n := len(c.moments); n == 0 || at.Sub(c.moments[n-1]) >= momentLength {
		c.moments = append(c.moments, at)
	}
}

// dueAt returns when the candidate can be decided on.
func (c *candidate) dueAt() time.Time { return c.moments[0].Add(observationTime) }

// acquit removes a part from the crashes up to the time at which a run with it began
// that proved harmless.
func (t *crashTally) acquit(part Part, at time.Time) {
	for _, c := range t.crashes {
		if c.at.After(at) {
			continue
		}
		for i, suspect := range c.suspects {
			if slices.Contains(suspect, part) {
				c.suspects[i] = slices.DeleteFunc(slices.Clone(suspect), func(p Part) bool { return p == part })
			}
		}
	}
}

// explain removes the runs with a part that was found to crash replicas, so that
// the other parts of these runs are not held responsible.
func (t *crashTally) explain(part Part) {
	for _, c := range t.crashes {
		c.suspects = slices.DeleteFunc(c.suspects, func(suspect []Part) bool { return slices.Contains(suspect, part) })
	}
}
