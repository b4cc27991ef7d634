package orders

import "time"

// permit is a load permit that this node holds. Service.mu guards it. While
// inFlight is set, a goroutine has a call to the table service running for it.
type permit struct {
	index   int
	row     permitRow
	version uint64
	// lastCounter is the counter of the last attempted write. Each attempt has
	// its own, so that a write that takes effect late is not mistaken for a
	// later one.
	lastCounter uint64
	// renewed is the start of the last write that took effect.
	renewed time.Time
	// lastAttempt is the time of the last attempt to renew or release.
	lastAttempt time.Time
	inFlight    bool
	// loadSent is set once a load was sent under the permit.
	loadSent bool
	// handOver is set if the permit is handed over to the next owner of the
	// replica instead of being freed.
	handOver bool
}

// valid reports whether a load may be sent. It leaves a third of PermitTTL for
// the call, since other nodes take the permit over after the whole TTL.
func (p *permit) valid(now time.Time, c Config) bool {
	return now.Sub(p.renewed) < c.PermitTTL*2/3
}

// nextRow returns the row to write next, with a new counter.
func (p *permit) nextRow() permitRow {
	p.lastCounter++
	row := p.row
	row.Counter = p.lastCounter
	return row
}
