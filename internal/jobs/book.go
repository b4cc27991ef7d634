package jobs

import (
	"log/slog"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/infra"
)

// Entry is a job's row as this node knows it.
type Entry struct {
	Record
	Version uint64
	// Seen is the local time at which this node learned of the version.
	Seen time.Time
}

// Book is a node's copy of all job rows. It implements watch.Handler.
type Book struct {
	log *slog.Logger

	mu      sync.RWMutex
	entries map[string]Entry

	// Notify, if set, is called after each change with the jobs that changed.
	Notify func(changed []Entry)
}

// NewBook returns an empty copy.
func NewBook(log *slog.Logger) *Book {
	return &Book{log: log, entries: make(map[string]Entry)}
}

// Snapshot implements watch.Handler.
func (b *Book) Snapshot(rows []infra.VersionedRow) {
	present := make(map[string]bool, len(rows))
	for i := range rows {
		present[rows[i].Key] = true
	}
	b.mu.Lock()
	for id := range b.entries {
		if !present[id] {
			delete(b.entries, id)
		}
	}
	b.mu.Unlock()
	b.Changed(rows)
}

// Changed implements watch.Handler.
func (b *Book) Changed(rows []infra.VersionedRow) {
	var changed []Entry
	b.mu.Lock()
	for i := range rows {
		if entry, ok := b.apply(&rows[i]); ok {
			changed = append(changed, entry)
		}
	}
	b.mu.Unlock()
	if b.Notify != nil && len(changed) > 0 {
		b.Notify(changed)
	}
}

// apply takes one row. The caller holds the lock.
func (b *Book) apply(row *infra.VersionedRow) (Entry, bool) {
	if known, ok := b.entries[row.Key]; ok && known.Version >= row.Version {
		return Entry{}, false
	}
	if row.Deleted {
		delete(b.entries, row.Key)
		return Entry{}, false
	}
	var record Record
	if err := msgpack.Unmarshal(row.Value, &record); err != nil || record.ID != row.Key {
		b.log.Warn("job row cannot be read", "job", row.Key, "version", row.Version, "error", err)
		return Entry{}, false
	}
	entry := Entry{Record: record, Version: row.Version, Seen: time.Now()}
	b.entries[row.Key] = entry
	return entry, true
}

// Learn takes a row that this node wrote or read itself, and notifies as for one
// that the feed brought: the feed's copy is then no change any more.
func (b *Book) Learn(record *Record, version uint64) {
	if entry, changed := b.note(record, version); changed && b.Notify != nil {
		b.Notify([]Entry{entry})
	}
}

// note takes a row without a notice.
func (b *Book) note(record *Record, version uint64) (Entry, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known, ok := b.entries[record.ID]; ok && known.Version >= version {
		return known, false
	}
	entry := Entry{Record: *record, Version: version, Seen: time.Now()}
	b.entries[record.ID] = entry
	return entry, true
}

// Get returns a job's row.
func (b *Book) Get(job string) (Entry, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	entry, ok := b.entries[job]
	return entry, ok
}

// All returns the rows that the filter accepts.
func (b *Book) All(accept func(*Entry) bool) []Entry {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var out []Entry
	for _, e := range b.entries {
		if accept(&e) {
			out = append(out, e)
		}
	}
	return out
}

// OpenTokens returns the tokens of the open jobs that the filter accepts.
func (b *Book) OpenTokens(accept func(*Entry) bool) int64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var sum int64
	for _, e := range b.entries {
		if e.State == StateOpen && accept(&e) {
			sum += e.Tokens
		}
	}
	return sum
}
