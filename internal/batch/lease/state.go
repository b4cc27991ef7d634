package lease

import (
	"time"

	"gentiantide.example/gentiantide/internal/batch"
)

// State is what a holder may do.
type State uint8

const (
	// Lost means that the ranges must be dropped.
	Lost State = iota
	// Held means that results may be committed but no item started.
	Held
	// Fresh means that items may be started.
	Fresh
)

// String returns the lower-case name of the state.
func (s State) String() string { return [...]string{"lost", "held", "fresh"}[min(s, Fresh)] }

// StateAt returns the state of a lease whose last successful renewal began at
// renewed.
func StateAt(renewed, now time.Time, cfg batch.Config) State {
	switch age := now.Sub(renewed); {
	case age >= cfg.LeaseLength:
		return Lost
	case age >= cfg.StartWithin:
		return Held
	default:
		return Fresh
	}
}
