package lease

import (
	"time"

	"gentiantide.example/gentiantide/internal/batch"
)

// State says what the holder of a lease may do.
type State uint8

const (
	// Lost means that the holder must drop its ranges.
	Lost State = iota
	// Held means that the holder may commit results but not start items.
	Held
	// Fresh means that the holder may also start items.
	Fresh
)

// String returns the lower-case name of the state.
func (s State) String() string { return [...]string{"lost", "held", "fresh"}[min(s, Fresh)] }

// StateAt returns the state of a lease whose last successful renewal began at
// renewed.
func StateAt(renewed, now time.Time, cfg batch.Config) State {
	switch age := now.Sub(renewed); {
	case age >= cfg.LeaseDuration:
		return Lost
	case age >= cfg.StartMaxLeaseAge:
		return Held
	default:
		return Fresh
	}
}
