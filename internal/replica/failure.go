package replica

import "fmt"

// Failure is a request that got no answer from a replica.
type Failure struct {
	// Sent is set if a byte of the request may have reached the replica. If it
	// is not set, the request has not run and never will.
	Sent bool
	// Unreachable is set if no connection could be opened, or if one was given
	// up because the replica did not acknowledge what was sent.
	Unreachable bool
	Err         error
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Sent {
		return fmt.Sprintf("no answer after sending: %v", f.Err)
	}
	return fmt.Sprintf("not sent: %v", f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }
