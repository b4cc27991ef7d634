package quarantine

import (
	"slices"
	"time"
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
	// silentMomentLength is the same for replicas that fell silent. Nodes notice that at
	// different times.
	silentMomentLength = time.Second
	// sameCrashTime is the time within which reports about a process of a replica belong
	// to the same crash, and sameStoredTime that for crashes in the store, whose times
	// depend on how fast it answers.
	sameCrashTime  = time.Second
	sameStoredTime = 3 * time.Second
	// sameSilentTime is the same for replicas that fell silent. What nodes send them
	// later is lost as well, and a machine that returns refuses connections.
	sameSilentTime = 10 * time.Second
	// crashRetention is how long a crash counts.
	crashRetention = 10 * time.Minute
	// maxCrashes, maxRuns and maxHarmless bound the memory of the tally: crashes, runs
	// for each of them, and harmless parts. The nodes name the latter for each decision.
	maxCrashes  = 256
	maxRuns     = 16
	maxHarmless = 4096
)

// crashTally finds the parts that crashing requests of a service have in common.
type crashTally struct {
	crashes []*crash // in the order of time
	// harmless are the parts with which a run has proved harmless at some time, before
	// the crashes or after.
	harmless map[Part]bool
}

// add adds a crash with a run that may have caused it.
func (t *crashTally) add(found *crash, now time.Time) {
	t.expire(now)
	for _, c := range t.crashes {
		if c.of(found, sameCrashTime) {
			for _, run := range found.runs {
				c.addRun(run)
			}
			return
		}
	}
	t.insert(found)
}

func (t *crashTally) insert(c *crash) {
	i, _ := slices.BinarySearchFunc(t.crashes, c, func(a, b *crash) int {
		if a.at.After(b.at) {
			return 1
		}
		return -1 // after those of the same time
	})
	t.crashes = slices.Insert(t.crashes, i, c)
}

// expire removes old crashes, and makes room for one.
func (t *crashTally) expire(now time.Time) {
	first := max(0, len(t.crashes)-maxCrashes+1)
	for first < len(t.crashes) && now.Sub(t.crashes[first].at) > crashRetention {
		first++
	}
	t.crashes = slices.Delete(t.crashes, 0, first)
}

// acquit clears a part of the crashes up to the time at which a run with it began that
// proved harmless, and remembers this for later crashes. It reports whether it cleared
// the part of a crash.
func (t *crashTally) acquit(part Part, at time.Time) (cleared bool) {
	t.markHarmless(part)
	for _, c := range t.crashes {
		if !c.at.After(at) && c.clear(part) {
			cleared = true
		}
	}
	return cleared
}

func (t *crashTally) markHarmless(part Part) {
	if t.harmless == nil || len(t.harmless) >= maxHarmless {
		t.harmless = make(map[Part]bool)
	}
	t.harmless[part] = true
}

// runs returns all runs of the crashes.
func (t *crashTally) runs() [][]Part {
	var out [][]Part
	for _, c := range t.crashes {
		out = append(out, c.runs...)
	}
	return out
}

// partsOf returns the parts of runs, each once.
func partsOf(runs [][]Part) []Part {
	seen := make(map[Part]bool)
	var out []Part
	for _, run := range runs {
		for _, part := range run {
			if !seen[part] {
				seen[part] = true
				out = append(out, part)
			}
		}
	}
	return out
}
