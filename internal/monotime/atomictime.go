// Package monotime provides an atomic time value that is based on the monotonic
// clock. The wall clock of a VM may jump by seconds.
package monotime

import (
	"sync/atomic"
	"time"
)

// epoch carries a monotonic reading; every AtomicTime is stored as an offset from it.
var epoch = time.Now()

// AtomicTime is a point in time that is safe for concurrent use. The zero value is
// unset.
type AtomicTime struct{ offset atomic.Int64 }

// Set stores t. A time at or before process start is stored as 1 ns after it,
// because the offset 0 means unset.
func (m *AtomicTime) Set(t time.Time) { m.offset.Store(max(1, int64(t.Sub(epoch)))) }

// Clear resets m to unset.
func (m *AtomicTime) Clear() { m.offset.Store(0) }

// Get returns the stored time. ok is false if m is unset.
func (m *AtomicTime) Get() (t time.Time, ok bool) {
	offset := m.offset.Load()
	return epoch.Add(time.Duration(offset)), offset != 0
}

// After reports whether m is set to a time later than t.
func (m *AtomicTime) After(t time.Time) bool {
	stored, ok := m.Get()
	return ok && stored.After(t)
}
