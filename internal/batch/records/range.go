package records

import "gentiantide.example/gentiantide/internal/core"

// RangeState is the stored state of a range.
type RangeState string

// The states of a range row. An absent row of a job's first-level range means
// that it was never claimed.
const (
	RangeClaimed  RangeState = "claimed"
	RangeReleased RangeState = "released"
	RangeDone     RangeState = "done"
)

// Segment names one committed result object of a range.
type Segment struct {
	Epoch  uint64 `msgpack:"e"`
	Number int    `msgpack:"n"`
	Items  int    `msgpack:"i"`
	Failed int    `msgpack:"f"`
}

// Range is the row of a range. A range with an id such as "00000003" holds the
// items of input part 3; one with an id such as "00000003.01" holds items that
// were split off it.
type Range struct {
	Node    core.NodeID `msgpack:"node"`
	Session string      `msgpack:"session"`
	Epoch   uint64      `msgpack:"epoch"`
	State   RangeState  `msgpack:"state"`
	// Claim numbers the claims of a session. A node that was offered a range
	// twice would otherwise write the same value in both claims, and a claim
	// whose answer was lost would take the other for its own on reading back.
	Claim uint64 `msgpack:"claim"`
	// Writes counts the writes of the row, which makes each value unique.
	Writes uint64 `msgpack:"writes"`
	// Splits counts the ranges that were split off.
	Splits int `msgpack:"splits,omitempty"`
	// Whole is set while the range holds all items of its part; otherwise
	// Items names them.
	Whole bool   `msgpack:"whole,omitempty"`
	Items Bitmap `msgpack:"items,omitempty"`
	// Done names the items with a committed result.
	Done Bitmap `msgpack:"done,omitempty"`
	// Sent names the non-idempotent items that may have been sent.
	Sent     Bitmap    `msgpack:"sent,omitempty"`
	Segments []Segment `msgpack:"segments,omitempty"`
}

// Holds reports whether item i belongs to the range.
func (r *Range) Holds(i int) bool { return r.Whole || r.Items.Has(i) }

// Counts returns the number of committed results and how many are failures.
func (r *Range) Counts() (items, failed int) {
	for _, s := range r.Segments {
		items += s.Items
		failed += s.Failed
	}
	return items, failed
}
