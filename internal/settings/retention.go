package settings

import "time"

// Retention holds how long durable state is kept after its last use. All values
// are positive in a snapshot built from a settings tree.
type Retention struct {
	// Intents is measured from the last write of a non-idempotent call's record.
	Intents time.Duration
	// Jobs is measured from the end of a job.
	Jobs time.Duration
	// Files is measured from the last use of a file that no job uses any more.
	Files time.Duration
	// SettingsLog is measured from the time of the change in a log entry.
	SettingsLog time.Duration
}

// MinLogEntries is the number of newest log entries that are kept regardless of
// their age. It is about four times limits.maxReplayedEntries, the number of
// entries up to which a node reads the log instead of the full tree.
const MinLogEntries = 1000

// LogPrefix is the key prefix of all log rows. Their keys sort by version.
const LogPrefix = logPrefix

func (t *Tree) retention() Retention {
	r := effectiveReader{t, []string{RootPath}}
	return Retention{
		Intents: r.duration("retention.intents"), Jobs: r.duration("retention.jobs"),
		Files: r.duration("retention.files"), SettingsLog: r.duration("retention.settings_log"),
	}
}
