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
	// certainCrashes is the number from which further conditions do not apply: that
	// any run has proved harmless since, as none does in an outage of all replicas,
	// and that the part explains minShare of the crashes.
	certainCrashes = 6
	// minShare is the share of all crashes of its time that a part must explain.
	// Sound parts that are used often are in some of them by chance.
	minShare = 0.4
	// specificShare is the share of the crashes of an earlier part of the same prompts
	// from which a later part is held responsible instead. It follows fewer different
	// prompts, so that fewer sound requests have it.
	specificShare = 0.7
	// observationTime is the time from the first of these crashes to the decision.
	// Parts that many requests share prove harmless within it. From manyCrashes on,
	// shortObservationTime is enough: a sound part is hardly ever in as many.
	observationTime      = time.Second
	manyCrashes          = 5
	shortObservationTime = 500 * time.Millisecond
	// momentLength is the time within which crashes count as one. Replicas that fail
	// together, with a rack or a switch, were not crashed by a request.
	momentLength = 100 * time.Millisecond
	// sameCrashTime is the time within which reports about a replica belong to the
	// same crash.
	sameCrashTime = time.Second
	// crashRetention is how long a crash counts.
	crashRetention = 10 * time.Minute
	// maxCrashes, maxSuspects and maxHarmless bound the memory of the tally: crashes, runs
	// for each of them, and harmless parts. The nodes name the latter for each decision.
	maxCrashes  = 256
	maxSuspects = 16
	maxHarmless = 4096
)

// crashTally finds the parts that crashing requests have in common.
type crashTally struct {
	crashes []*crash // in the order of time
	// harmless are the parts with which a run has proved harmless at some time, before
	// the crashes or after.
	harmless map[Part]bool
}

// crash is one crash of a replica with the runs that may have caused it.
type crash struct {
	replica  core.ReplicaID
	at       time.Time
	suspects [][]Part
}

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
	// moments are the times of its crashes, each momentLength or more after the one
	// before.
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

// candidates returns the parts that two crashes or more have in common, in the order
// of their number of crashes.
func (t *crashTally) candidates() []*candidate {
	found := make(map[Part]*candidate)
	for i, c := range t.crashes {
		for _, suspect := range c.suspects {
			for depth, part := range suspect {
				if found[part] == nil {
					found[part] = &candidate{part: part, first: i, last: -1, harmless: t.harmless[part]}
				}
				found[part].observe(i, depth, c.at)
			}
		}
	}
	var out []*candidate
	for _, c := range found {
		if c.crashes > 1 {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(b.depth, a.depth), cmp.Compare(a.part, b.part))
	})
	return out
}

// observe counts the crash with an index for the candidate.
func (c *candidate) observe(index, depth int, at time.Time) {
	c.depth = max(c.depth, depth)
	if c.last == index {
		return
	}
	c.last = index
	c.crashes++
	if n := len(c.moments); n == 0 || at.Sub(c.moments[n-1]) >= momentLength {
		c.moments = append(c.moments, at)
	}
}

// suspects returns the candidates that may be held responsible: each request that
// crashed enough replicas, however many others crash replicas at the same time, and
// then the most likely part of prompts.
func suspects(candidates []*candidate) []*candidate {
	var out []*candidate
	for _, c := range candidates {
		if c.part.isRequest() && c.series() >= minCrashes {
			out = append(out, c)
		}
	}
	if likely := mostLikely(candidates); likely != nil && likely.series() >= minCrashes {
		out = append(out, likely)
	}
	return out
}

// series returns how many crashes of the candidate are no coincidence. Of those in the
// same moment one counts, as replicas fail together with a rack or a switch. Each crash
// counts of a request that has never proved harmless: it may be at several replicas at
// once, and no other request is in its crashes by chance for long without proving
// harmless.
func (c *candidate) series() int {
	if c.part.isRequest() && !c.harmless {
		return c.crashes
	}
	return len(c.moments)
}

// mostLikely returns the part of prompts that most likely causes the crashes, or nil if
// there is none. Parts that have proved harmless are considered if no other part is in
// a series of crashes: what has been harmless may crash replicas of another version.
func mostLikely(candidates []*candidate) *candidate {
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(c *candidate) bool { return c.part.isRequest() })
	unproved := slices.DeleteFunc(slices.Clone(candidates), func(c *candidate) bool { return c.harmless })
	if likely := mostSpecific(unproved); likely != nil && likely.series() >= minCrashes {
		return likely
	}
	return mostSpecific(candidates)
}

// mostSpecific returns the last part of prompts among those that explain almost as many
// crashes as the first candidate, or nil if there is no candidate.
func mostSpecific(candidates []*candidate) *candidate {
	var likely *candidate
	for _, c := range candidates {
		enough := likely == nil || float64(c.crashes) >= specificShare*float64(candidates[0].crashes)
		if enough && (likely == nil || c.depth > likely.depth) {
			likely = c
		}
	}
	return likely
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

// acquit removes a part from the crashes up to the time at which a run with it began
// that proved harmless, and remembers this for later crashes.
func (t *crashTally) acquit(part Part, at time.Time) {
	if t.harmless == nil || len(t.harmless) >= maxHarmless {
		t.harmless = make(map[Part]bool)
	}
	t.harmless[part] = true
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

// explain removes the crashes that a part has caused, so that the other parts that
// were at the replicas at these times are not held responsible.
func (t *crashTally) explain(part Part) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool {
		return slices.ContainsFunc(c.suspects, func(suspect []Part) bool { return slices.Contains(suspect, part) })
	})
}
