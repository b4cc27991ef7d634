package owner

import "time"

// Verdict is the immediate answer to a request.
type Verdict uint8

const (
	// VerdictRefused means that the request has no reservation and was not run.
	VerdictRefused Verdict = iota
	// VerdictGranted means that the holder has the slot.
	VerdictGranted
	// VerdictQueued means that an event with the outcome follows.
	VerdictQueued
	// VerdictUnknown means that the node does not know the replica (yet), so
	// that its answer says nothing about free slots.
	VerdictUnknown
)

// String returns the lower-case name of the verdict.
func (v Verdict) String() string {
	switch v {
	case VerdictGranted:
		return "granted"
	case VerdictQueued:
		return "queued"
	case VerdictUnknown:
		return "unknown"
	default:
		return "refused"
	}
}

// Decision is a verdict with the load it was based on.
type Decision struct {
	Verdict Verdict
	Load    Load
	// Wait is the expected time until a slot is free; 0 if granted.
	Wait time.Duration
}
