package orders

import "time"

// permit is a permit that this node holds. The Service's lock guards it; while
// busy is set, a goroutine uses it.
type permit struct {
	index   int
	row     permitRow
	version uint64
	// attempts is the counter of the last write that was tried. Each has its
	// own, so that one that takes effect late is not taken for a later one.
	attempts uint64
	// renewed is when the last write that took effect began.
	renewed time.Time
	// tried is when the last renewal or release was tried.
	tried time.Time
	busy  bool
	// used is set once a load was sent under the permit.
	used bool
	// handOver is set if the permit goes to the next owner of the replica
	// instead of being freed.
	handOver bool
}

// valid reports whether a load may be sent. It leaves a third of the length
// for the call, since others take the permit over after the whole length.
func (p *permit) valid(now time.Time, c Config) bool {
	return now.Sub(p.renewed) < c.PermitLength*2/3
}

// next returns the row of the next write.
func (p *permit) next() permitRow {
	p.attempts++
	row := p.row
	row.Counter = p.attempts
	return row
}
