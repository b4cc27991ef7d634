package retention

import (
	"time"

	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/settings"
)

// ClockMargin is added to every retention, since the times in rows come from
// the clocks of other nodes. Clocks that the platform keeps differ by less than
// a second; that of a VM that has just started or was suspended may be minutes
// off until it is set. The margin is small against the shortest retention, 1 h.
// A clock that is wrong by more shortens or lengthens retentions by the excess.
const ClockMargin = 10 * time.Minute

// Step says what to do with a job or a file.
type Step uint8

const (
	// StepKeep leaves it alone.
	StepKeep Step = iota
	// StepMark marks it as expired and then deletes it.
	StepMark
	// StepDelete carries on with the deletion of what was marked before.
	StepDelete
)

// Outdated reports whether a row that was written or last used at a time may
// be deleted. A row without a time or from the future is kept, and so is every
// row while the retention is not known.
func Outdated(written, now time.Time, keep time.Duration) bool {
	return !written.IsZero() && keep > 0 && now.Sub(written) >= keep+ClockMargin
}

// LogEntryOutdated reports whether an entry of the settings log may be deleted.
// newest is the version of the settings.
func LogEntryOutdated(e *settings.Entry, newest uint64, now time.Time, r settings.Retention) bool {
	return e.Version+settings.MinLogEntries <= newest && Outdated(e.Time, now, r.SettingsLog)
}

// JobStep decides about a job. Its end is not before its acceptance, so the
// latest of its times counts: they come from different clocks.
func JobStep(job *records.Job, now time.Time, r settings.Retention) Step {
	switch job.State {
	case records.JobExpired:
		return StepDelete
	case records.JobCompleted, records.JobCancelled:
		if !job.EndedAt.IsZero() && Outdated(latest(job.EndedAt, job.Created, job.CancellingAt), now, r.Jobs) {
			return StepMark
		}
	}
	return StepKeep
}

// FileStep decides about a file or an upload that was not accepted.
func FileStep(m *records.Manifest, now time.Time, r settings.Retention) Step {
	switch {
	case m.Expired:
		return StepDelete
	case m.Jobs > 0 || m.Touched.IsZero():
		return StepKeep
	case Outdated(latest(m.Touched, m.Uploaded), now, r.Files):
		return StepMark
	default:
		return StepKeep
	}
}

// ReleaseFile returns the row of a file after the deletion of a job that used
// it. The input goes with the last job, unless it was used again since.
func ReleaseFile(m records.Manifest, now time.Time, r settings.Retention) records.Manifest {
	m.Jobs = max(0, m.Jobs-1)
	m.Expired = m.Expired || (m.Jobs == 0 && Outdated(latest(m.Touched, m.Uploaded), now, r.Jobs))
	return m
}

func latest(first time.Time, more ...time.Time) time.Time {
	for _, t := range more {
		if t.After(first) {
			first = t
		}
	}
	return first
}

// Segments returns the keys of all objects that the holders of a range may
// have written. A holder numbers its segments from 1 and writes the next one
// only once the last is committed. So beyond the committed segments of an
// epoch there can only be the one with the next number, unless the last write
// of the holder is known to be committed: it completed or released the range.
func Segments(job *records.Job, rangeID string, r *records.Range) []string {
	last := make(map[uint64]int)
	var keys []string
	for _, s := range r.Segments {
		last[s.Epoch] = max(last[s.Epoch], s.Number)
		keys = append(keys, records.SegmentKey(job, rangeID, s))
	}
	for epoch := uint64(1); epoch <= r.Epoch; epoch++ {
		if epoch < r.Epoch || r.State == records.RangeClaimed {
			keys = append(keys, records.SegmentKey(job, rangeID, records.Segment{Epoch: epoch, Number: last[epoch] + 1}))
		}
	}
	return keys
}
