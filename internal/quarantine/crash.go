package quarantine

import (
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// crash is one crash of a replica with the runs that may have caused it.
type crash struct {
	replica core.ReplicaID
	// started tells the processes of the replica apart, as in its registration.
	started int64
	at      time.Time
	// silent is set if the replica fell silent, so that at may be late by some 100 ms.
	silent bool
	// stored is set if the crash is in the store. clock is then its time there, and
	// storedFacts the number of runs and of cleared parts.
	stored      bool
	clock       time.Duration
	storedFacts int
	// runs hold the parts of each run that may have caused the crash, and cleared the
	// parts with which a run that began after it has proved harmless.
	runs    [][]Part
	cleared []Part
}

// of reports whether the crash is the same as another one, the time of which is known with
// a tolerance.
func (c *crash) of(other *crash, tolerance time.Duration) bool {
	if c.silent || other.silent {
		tolerance = sameSilentTime
	}
	otherProcess := c.started != 0 && other.started != 0 && c.started != other.started
	return c.replica == other.replica && !otherProcess && c.at.Sub(other.at).Abs() < tolerance
}

// moment is the time within which other crashes count as one with it.
func (c *crash) moment() time.Duration {
	if c.silent {
		return silentMomentLength
	}
	return momentLength
}

// addRun adds a run that may have caused the crash. It reports whether it was not known.
func (c *crash) addRun(run []Part) bool {
	known := slices.ContainsFunc(c.runs, func(other []Part) bool { return slices.Equal(other, run) })
	if known || len(c.runs) >= maxRuns {
		return false
	}
	c.runs = append(c.runs, run)
	return true
}

// hasPart reports whether one of the runs has the part.
func (c *crash) hasPart(part Part) bool {
	return slices.ContainsFunc(c.runs, func(run []Part) bool { return slices.Contains(run, part) })
}

// clear clears a part of the crash. It reports whether this is news.
func (c *crash) clear(part Part) bool {
	if !c.hasPart(part) || slices.Contains(c.cleared, part) {
		return false
	}
	c.cleared = append(c.cleared, part)
	return true
}

// suspects returns the runs without the parts that are cleared.
func (c *crash) suspects() [][]Part {
	if len(c.cleared) == 0 {
		return c.runs
	}
	out := make([][]Part, len(c.runs))
	for i, run := range c.runs {
		out[i] = slices.DeleteFunc(slices.Clone(run), func(p Part) bool { return slices.Contains(c.cleared, p) })
	}
	return out
}
