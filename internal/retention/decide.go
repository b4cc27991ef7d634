package retention

import (
	"time"

	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/settings"
)

// ClockMargin is added to every retention, since the times in rows come from
// the clocks of other nodes. Clocks that the platform synchronises differ by
// less than a second. The clock of a VM that has just started or was suspended
// may be off by minutes until it is synchronised. The margin is small compared
// with the shortest retention, 1 h. A clock that is off by more shortens or
// lengthens retentions by the excess.
const ClockMargin = 10 * time.Minute

// Action says what to do with a job or a file.
type Action uint8

const (
	// ActionKeep leaves it unchanged.
	ActionKeep Action = iota
	// ActionMark marks it as expired and then deletes it.
	ActionMark
	// ActionDelete continues the deletion of what is already marked as expired.
	ActionDelete
)

// PastRetention reports whether a row that was last written or used at the given
// time may be deleted. A row without a time, or with one in the future, is kept.
// Every row is kept while the retention is unknown (0).
func PastRetention(written, now time.Time, retention time.Duration) bool {
	return !written.IsZero() && retention > 0 && now.Sub(written) >= retention+ClockMargin
}

// LogEntryPastRetention reports whether an entry of the settings log may be
// deleted. newest is the current version of the settings; the last
// settings.MinLogEntries entries are kept regardless of their age.
func LogEntryPastRetention(e *settings.Entry, newest uint64, now time.Time, r settings.Retention) bool {
	return e.Version+settings.MinLogEntries <= newest && PastRetention(e.Time, now, r.SettingsLog)
}

// JobAction returns the action for a job. The times of a job come from different
// clocks, so its end may seem to precede its acceptance; the latest of its times
// counts.
func JobAction(job *records.Job, now time.Time, r settings.Retention) Action {
	switch job.State {
	case records.JobExpired:
		return ActionDelete
	case records.JobCompleted, records.JobCancelled:
		if !job.EndedAt.IsZero() && PastRetention(latest(job.EndedAt, job.Created, job.CancellingAt), now, r.Jobs) {
			return ActionMark
		}
	}
	return ActionKeep
}

// FileAction returns the action for a file or for an upload that was not
// accepted.
func FileAction(m *records.Manifest, now time.Time, r settings.Retention) Action {
	switch {
	case m.Expired:
		return ActionDelete
	case m.JobCount > 0 || m.LastUsed.IsZero():
		return ActionKeep
	case PastRetention(latest(m.LastUsed, m.Uploaded), now, r.Files):
		return ActionMark
	default:
		return ActionKeep
	}
}

// ReleaseFile returns the manifest of a file after the deletion of a job that
// used it. When the last such job is deleted, the file is marked as expired,
// unless it was used again within the retention of jobs.
func ReleaseFile(m records.Manifest, now time.Time, r settings.Retention) records.Manifest {
	m.JobCount = max(0, m.JobCount-1)
	m.Expired = m.Expired || (m.JobCount == 0 && PastRetention(latest(m.LastUsed, m.Uploaded), now, r.Jobs))
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

// Segments returns the keys of all objects that the lease holders of a range may
// have written. A holder numbers its segments from 1 and writes the next one
// only after the previous one is committed. So beyond the committed segments of
// an epoch there can only be the one with the next number. There is none if the
// current holder has completed or released the range, since its last write is
// then known to be committed.
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
