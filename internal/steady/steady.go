// Package steady stores moments of the monotonic clock in atomics. The time of
// day of a VM may jump by seconds.
package steady

import (
	"sync/atomic"
	"time"
)

var start = time.Now()

// Moment is a point in time that may be set and read by several goroutines.
// Its zero value is no moment.
type Moment struct{ offset atomic.Int64 }

// Set stores a moment.
func (m *Moment) Set(t time.Time) { m.offset.Store(max(1, int64(t.Sub(start)))) }

// Clear makes it no moment.
func (m *Moment) Clear() { m.offset.Store(0) }

// Get returns the moment; ok is false if there is none.
func (m *Moment) Get() (t time.Time, ok bool) {
	offset := m.offset.Load()
	return start.Add(time.Duration(offset)), offset != 0
}

// After reports whether the moment is set and later than t.
func (m *Moment) After(t time.Time) bool {
	moment, ok := m.Get()
	return ok && moment.After(t)
}
