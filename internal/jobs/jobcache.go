package jobs

import (
	"log/slog"
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/infra"
)

// Entry is a cached job row: the record and the version of the row.
type Entry struct {
	Record
	Version uint64
	// Seen is the local time at which this node received this version.
	Seen time.Time
}

// JobCache holds a node's copy of all job rows. It implements watch.Handler.
type JobCache struct {
	log *slog.Logger

	mu      sync.RWMutex
	entries map[string]Entry

	// Notify, if set, is called with the changed jobs after each change.
	Notify func(changed []Entry)
}

// NewJobCache returns an empty cache.
func NewJobCache(log *slog.Logger) *JobCache {
	return &JobCache{log: log, entries: make(map[string]Entry)}
}

// Snapshot implements watch.Handler.
func (c *JobCache) Snapshot(rows []infra.VersionedRow) {
	present := make(map[string]bool, len(rows))
	for i := range rows {
		present[rows[i].Key] = true
	}
	c.removeAbsent(present)
	c.Changed(rows)
}

func (c *JobCache) removeAbsent(present map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.entries {
		if !present[id] {
			delete(c.entries, id)
		}
	}
}

// Changed implements watch.Handler.
func (c *JobCache) Changed(rows []infra.VersionedRow) {
	if changed := c.applyAll(rows); c.Notify != nil && len(changed) > 0 {
		c.Notify(changed)
	}
}

// applyAll updates the cache and returns the jobs that were added or changed.
func (c *JobCache) applyAll(rows []infra.VersionedRow) (changed []Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range rows {
		if entry, ok := c.apply(&rows[i]); ok {
			changed = append(changed, entry)
		}
	}
	return changed
}

// apply updates the cache from one row and reports whether a job was added or
// changed. Rows that are not newer than the cached version are ignored. The
// caller holds the lock.
func (c *JobCache) apply(row *infra.VersionedRow) (Entry, bool) {
	if known, ok := c.entries[row.Key]; ok && known.Version >= row.Version {
		return Entry{}, false
	}
	if row.Deleted {
		delete(c.entries, row.Key)
		return Entry{}, false
	}
	entry, err := decodeEntry(row)
	if err != nil {
		c.log.Warn("job row is malformed", "job", row.Key, "version", row.Version, "error", err)
		return Entry{}, false
	}
	entry.Seen = time.Now()
	c.entries[row.Key] = entry
	return entry, true
}

// Update stores a row that this node wrote or read itself and calls Notify. The
// change feed delivers the same version later, which then is not a change.
func (c *JobCache) Update(record *Record, version uint64) {
	if entry, changed := c.updateSilently(record, version); changed && c.Notify != nil {
		c.Notify([]Entry{entry})
	}
}

// updateSilently stores a row if it is newer, without calling Notify.
func (c *JobCache) updateSilently(record *Record, version uint64) (Entry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.entries[record.ID]; ok && known.Version >= version {
		return known, false
	}
	entry := Entry{Record: *record, Version: version, Seen: time.Now()}
	c.entries[record.ID] = entry
	return entry, true
}

// Get returns the cached row of a job.
func (c *JobCache) Get(job string) (Entry, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	entry, ok := c.entries[job]
	return entry, ok
}

// Select returns the rows for which accept returns true. Accept must take no lock: the
// runner updates the cache while it holds its own.
func (c *JobCache) Select(accept func(*Entry) bool) []Entry {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var out []Entry
	for _, e := range c.entries {
		if accept(&e) {
			out = append(out, e)
		}
	}
	return out
}
