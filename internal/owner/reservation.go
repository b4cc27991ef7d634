package owner

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// status is the state of a reservation in the ledger.
type status uint8

const (
	statusWaiting status = iota
	statusHeld
	// statusDraining is a preempted reservation whose holder has not released
	// it yet. It no longer counts against online work.
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

// reservation is one entry of the ledger.
type reservation struct {
	Request
	status status
	// sequence is the order of arrival; it breaks all ties.
	sequence uint64
	// since is when the present status began, as far as the holder knows.
	since time.Time
	// added is when this ledger learnt of the reservation.
	added time.Time
	// cost is the expected service time in seconds.
	cost float64
	// rank orders the waiters of one organisation: arrival plus cost. The
	// difference of two ranks does not change while both wait, so this is
	// shortest first with ageing at one second per second waited.
	rank float64
	long bool
	// missed counts consecutive lists of the holder without the reservation.
	missed int
}

func (r *reservation) online() bool { return r.Class == core.ClassOnline }
