package owner

import "time"

// Verdict is the immediate answer to a request.
type Verdict uint8

const (
	// VerdictRefused means that no reservation was made and the work was not run.
	VerdictRefused Verdict = iota
	// VerdictGranted means that the holder has a slot.
	VerdictGranted
	// VerdictQueued means that the request waits and an Event will follow.
	VerdictQueued
	// VerdictUnknownReplica means that the replica is not in the node's directory
	// (yet), so the answer says nothing about free slots.
	VerdictUnknownReplica
)

// String returns the lower-case name of the verdict.
func (v Verdict) String() string {
	switch v {
	case VerdictGranted:
		return "granted"
	case VerdictQueued:
		return "queued"
	case VerdictUnknownReplica:
		return "unknown"
	default:
		return "refused"
	}
}

// Decision is a verdict with the load of the replica after it.
type Decision struct {
	Verdict Verdict
	Load    Load
	// Wait is the expected time until a slot becomes free; 0 if granted.
	Wait time.Duration
}
