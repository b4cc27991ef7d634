package settings

import "time"

// Retention says how long durable state is kept that is no longer in use. Each
// time is more than 0 in a snapshot of a settings tree.
type Retention struct {
	// Intents counts from the last write of the record of a non-idempotent call.
	Intents time.Duration
	// Jobs counts from the end of a job.
	Jobs time.Duration
	// Files counts from the last use of a file that no job uses.
	Files time.Duration
	// SettingsLog counts from the change that a log entry records.
	SettingsLog time.Duration
}

// MinLogEntries is the number of newest log entries that are kept whatever
// their age. It is about four times what a node reads from the log to catch up
// (limits.catchUp) before it reads the whole tree instead.
const MinLogEntries = 1000

// LogPrefix begins the keys of all log rows; they sort by version.
const LogPrefix = logPrefix

func (t *Tree) retention() Retention {
	r := reader{t, []string{RootPath}}
	return Retention{
		Intents: r.duration("retention.intents"), Jobs: r.duration("retention.jobs"),
		Files: r.duration("retention.files"), SettingsLog: r.duration("retention.settings_log"),
	}
}
