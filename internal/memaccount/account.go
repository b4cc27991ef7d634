package memaccount

import (
	"sync"
	"time"
)

// Account is what a process holds for others. A nil account has no limit.
type Account struct {
	limits Limits

	mu      sync.Mutex
	used    int64
	freeing int64                // the part of used that ended holders are about to give back
	holders map[*Holder]struct{} // those that may be ended
	freed   chan struct{}        // closed when bytes are released or a holder ends
	stats   Stats
}

// Stats count what an account has done.
type Stats struct {
	// Used is the number of bytes held, and Open that of incomplete holders.
	Used int64
	Open int
	// Refused and Ended count the charges that found no room, and the holders that were
	// ended in favour of others.
	Refused, Ended int64
}

// New returns an empty account.
func New(limits Limits) *Account {
	return &Account{limits: limits, holders: make(map[*Holder]struct{}), freed: make(chan struct{})}
}

// Limit returns the size of the account.
func (a *Account) Limit() int64 { return a.limits.Bytes }

// Stats returns what the account holds and has done.
func (a *Account) Stats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	stats := a.stats
	stats.Used, stats.Open = a.used, len(a.holders)
	return stats
}

// Open returns a holder of no bytes that is incomplete. end is called, once at most and
// from any goroutine, if it ends in favour of others.
func (a *Account) Open(now time.Time, end func()) *Holder {
	h := &Holder{account: a, end: end, pace: pace{began: now, windowBegan: now}}
	if a != nil {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.holders[h] = struct{}{}
	}
	return h
}

// OpenBulk returns a holder of no bytes for what can be sent again, such as a page of
// results. It never uses the reserve and does not end in favour of others.
func (a *Account) OpenBulk() *Holder { return &Holder{account: a, bulk: true} }

// Freed returns a channel that is closed when bytes are released or a holder ends after the
// call.
func (a *Account) Freed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.freed
}

// fits reports whether a holder may hold n more bytes.
func (a *Account) fits(h *Holder, n int64) bool {
	return a.limits.Bytes == 0 || a.used+n <= a.room(h, h.bytes+n)
}

// room is the part of the account for a holder of so many bytes.
func (a *Account) room(h *Holder, bytes int64) int64 {
	if h.bulk || bytes > a.limits.Small {
		return a.limits.Bytes - a.limits.Reserve
	}
	return a.limits.Bytes
}

// notify wakes those that wait for a change. The caller holds the lock.
func (a *Account) notify() {
	close(a.freed)
	a.freed = make(chan struct{})
}

// EndSlowest ends the incomplete holder that progresses least and reports whether there
// is one. It spares those that are too young to be judged.
func (a *Account) EndSlowest(now time.Time) bool { return a.end(now, nil) }

// EndFor ends an incomplete holder in favour of another, which progresses more. A large
// one ends only those below MinPace.
func (a *Account) EndFor(now time.Time, other *Holder) bool { return a.end(now, other) }

func (a *Account) end(now time.Time, other *Holder) bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	below := unjudged
	if other != nil {
		below = other.pace.at(now)
		if other.bytes > a.limits.Small {
			below = min(below, MinPace)
		}
	}
	var slowest *Holder
	slowestPace := below
	for h := range a.holders {
		p := h.pace.at(now)
		if h != other && (p < slowestPace || slowest != nil && p == slowestPace && h.bytes > slowest.bytes) {
			slowest, slowestPace = h, p
		}
	}
	if slowest != nil {
		slowest.ended = true
		delete(a.holders, slowest)
		a.stats.Ended++
		a.freeing += slowest.bytes
		a.notify() // it may wait for room itself
	}
	a.mu.Unlock()
	if slowest == nil {
		return false
	}
	slowest.end()
	return true
}
