package quarantine

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// maxEntries bounds the list. When it is full, the entry that ends first makes
	// room.
	maxEntries = 256
	// trialSpread is the time after the end of a quarantine in which the nodes start
	// their trials, each at another moment. If the part still crashes replicas, the
	// first trial renews the quarantine on all nodes.
	trialSpread = 10 * time.Second
)

// list is a node's copy of the entries. Requests read it without a lock.
type list struct {
	self    core.NodeID
	entries atomic.Pointer[map[Part]Entry] // copied on write

	mu sync.Mutex
	// trials are the parts with a trial in progress at this node.
	trials   map[Part]bool
	watchers map[*watcher]struct{}
}

// watcher is a request that is cancelled when one of its parts is quarantined.
type watcher struct {
	parts  []Part
	cancel context.CancelCauseFunc
}

func newList(self core.NodeID) *list {
	l := &list{self: self, trials: make(map[Part]bool), watchers: make(map[*watcher]struct{})}
	l.entries.Store(&map[Part]Entry{})
	return l
}

// all returns the entries that are not forgotten, ordered by part.
func (l *list) all(now time.Time) []Entry {
	entries := *l.entries.Load()
	out := make([]Entry, 0, len(entries))
	for _, part := range slices.Sorted(maps.Keys(entries)) {
		if e := entries[part]; !e.forgotten(now) {
			out = append(out, e)
		}
	}
	return out
}

func (l *list) get(part Part) (Entry, bool) {
	e, ok := (*l.entries.Load())[part]
	return e, ok
}

// merge adds an entry or replaces an older one of the same part, and cancels the
// watchers of a part that is quarantined now. It reports whether the list changed.
func (l *list) merge(e Entry, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := maps.Clone(*l.entries.Load())
	maps.DeleteFunc(entries, func(_ Part, old Entry) bool { return old.forgotten(now) })
	if old, ok := entries[e.Part]; ok && !e.supersedes(&old) || e.forgotten(now) {
		return false
	}
	entries[e.Part] = e
	if len(entries) > maxEntries {
		delete(entries, firstToEnd(entries))
	}
	l.entries.Store(&entries)
	if !e.active() {
		return true
	}
	for w := range l.watchers {
		if slices.Contains(w.parts, e.Part) {
			w.cancel(ErrQuarantined)
		}
	}
	return true
}

func firstToEnd(entries map[Part]Entry) Part {
	var first Entry
	for _, e := range entries {
		if first.Part == "" || e.Until.Before(first.Until) {
			first = e
		}
	}
	return first.Part
}

// blocked returns an entry because of which a request with the parts is refused.
// After the end of the quarantine a request may be the trial.
func (l *list) blocked(parts []Part, now time.Time) (Entry, bool) {
	entries := *l.entries.Load()
	if len(entries) == 0 {
		return Entry{}, false
	}
	for _, part := range parts {
		if e, ok := entries[part]; ok && e.active() && !e.forgotten(now) && !l.trialDue(&e, now) {
			return e, true
		}
	}
	return Entry{}, false
}

func (l *list) trialDue(e *Entry, now time.Time) bool {
	offset := time.Duration(xxhash.Sum64String(string(l.self)+"|"+string(e.Part)) % uint64(trialSpread))
	if now.Before(e.Until.Add(offset)) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.trials[e.Part]
}

// admit returns the parts of which the request is the trial. It reports false if one
// of the parts is quarantined.
func (l *list) admit(parts []Part, now time.Time) (trial []Part, ok bool) {
	if _, blocked := l.blocked(parts, now); blocked {
		return nil, false
	}
	entries := *l.entries.Load()
	if len(entries) == 0 {
		return nil, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, part := range parts {
		e, listed := entries[part]
		if !listed || !e.active() || slices.Contains(trial, part) {
			continue
		}
		if l.trials[part] { // another request was faster
			l.endTrials(trial)
			return nil, false
		}
		l.trials[part] = true
		trial = append(trial, part)
	}
	return trial, true
}

func (l *list) release(trial []Part) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endTrials(trial)
}

// endTrials ends the trials of the parts. The caller holds the lock.
func (l *list) endTrials(trial []Part) {
	for _, part := range trial {
		delete(l.trials, part)
	}
}

// watch calls cancel when one of the parts is quarantined, until the returned
// function is called.
func (l *list) watch(parts []Part, cancel context.CancelCauseFunc) (stop func()) {
	w := &watcher{parts: parts, cancel: cancel}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watchers[w] = struct{}{}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.watchers, w)
	}
}
