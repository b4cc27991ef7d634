package records

import "gentiantide.example/gentiantide/internal/core"

// RangeState is the stored state of a range.
type RangeState string

// The states of a range row. A top-level range without a row was never claimed.
const (
	RangeClaimed  RangeState = "claimed"
	RangeReleased RangeState = "released"
	RangeDone     RangeState = "done"
)

// Segment identifies a committed result object of a range.
type Segment struct {
	Epoch  uint64 `msgpack:"e"`
	Number int    `msgpack:"n"`
	Items  int    `msgpack:"i"`
	Failed int    `msgpack:"f"`
}

// Range is the row of a range. A top-level range such as "00000003" contains the
// items of input part 3; a range such as "00000003.01" contains items that were
// split off it.
type Range struct {
	Node    core.NodeID `msgpack:"node"`
	Session string      `msgpack:"session"`
	Epoch   uint64      `msgpack:"epoch"`
	State   RangeState  `msgpack:"state"`
	// ClaimNumber is different for every claim of a process. Without it, a node that
	// was offered a range twice would write the same value in both claims, and a
	// claim whose response was lost could mistake the other claim for its own
	// when it reads the row back.
	ClaimNumber uint64 `msgpack:"claim"`
	// WriteCount counts the writes of the row, so that no two values are equal.
	WriteCount uint64 `msgpack:"writes"`
	// Splits counts the ranges that were split off this range.
	Splits int `msgpack:"splits,omitempty"`
	// Whole is set while the range contains all items of its part; otherwise
	// Items lists them.
	Whole bool   `msgpack:"whole,omitempty"`
	Items Bitmap `msgpack:"items,omitempty"`
	// Done lists the items with a committed result.
	Done Bitmap `msgpack:"done,omitempty"`
	// Sent lists the non-idempotent items that may have been sent.
	Sent     Bitmap    `msgpack:"sent,omitempty"`
	Segments []Segment `msgpack:"segments,omitempty"`
}

// Contains reports whether the range contains item i.
func (r *Range) Contains(i int) bool { return r.Whole || r.Items.Has(i) }

// Counts returns the number of committed results and how many of them are
// failures.
func (r *Range) Counts() (items, failed int) {
	for _, s := range r.Segments {
		items += s.Items
		failed += s.Failed
	}
	return items, failed
}
