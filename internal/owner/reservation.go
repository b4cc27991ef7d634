package owner

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// status is the status of a reservation in the ledger.
type status uint8

const (
	statusWaiting status = iota
	statusHeld
	// statusDraining is the status of a preempted reservation that its holder
	// has not released yet. It does not prevent online work from being granted
	// its slot.
	statusDraining
)

// String returns the lower-case name of the status.
func (s status) String() string {
	switch s {
	case statusHeld:
		return "held"
	case statusDraining:
		return "draining"
	default:
		return "waiting"
	}
}

// reservation is an entry of the ledger.
type reservation struct {
	Request
	status status
	// sequence is the order of arrival, which breaks ties.
	sequence uint64
	// since is when the current status began. For a registered reservation it
	// is the time that the holder reports.
	since time.Time
	// added is when the reservation was added to this ledger.
	added time.Time
	// cost is the expected service time in seconds.
	cost float64
	// rank orders online waiters: the time of arrival plus cost, in seconds,
	// lowest first. This is shortest job first with ageing, because each second
	// of waiting offsets one second of cost.
	rank float64
	// long is set for an online request whose expected length exceeds
	// longRequestRatio times the average.
	long bool
	// missedLists counts the consecutive lists of the holder that lack the
	// reservation.
	missedLists int
}

func (r *reservation) online() bool { return r.Class == core.ClassOnline }
