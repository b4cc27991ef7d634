package quarantine

import (
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// minCrashes is the number of crashes, at different moments and without a
	// harmless run in between, for which a part is quarantined.
	minCrashes = 3
	// minConvictions is the number of different quarantined requests for which a part
	// that they share is quarantined, too, if no run with it ever proved harmless.
	minConvictions = 2
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

// requests returns the requests among the suspects of the crash that match, each once.
// A nil function matches all.
func (c *crash) requests(match func(Part) bool) []Part {
	var out []Part
	for _, run := range c.suspects {
		if request := requestOf(run); request != "" && (match == nil || match(request)) && !slices.Contains(out, request) {
			out = append(out, request)
		}
	}
	return out
}

func (t *crashTally) expire(now time.Time) {
	first := max(0, len(t.crashes)-maxCrashes+1)
	for first < len(t.crashes) && now.Sub(t.crashes[first].at) > crashRetention {
		first++
	}
	t.crashes = slices.Delete(t.crashes, 0, first)
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
