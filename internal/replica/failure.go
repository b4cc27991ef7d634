package replica

import (
	"errors"
	"fmt"
)

// Failure is the error of a request that got no response from a replica.
type Failure struct {
	// Sent is set if a byte of the request may have reached the replica. If it
	// is not set, the request has not run and never will.
	Sent bool
	// Unreachable is set if no connection could be opened, or if the connection
	// timed out because the replica did not acknowledge the data sent.
	Unreachable bool
	Err         error
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Sent {
		return fmt.Sprintf("request sent, no response: %v", f.Err)
	}
	return fmt.Sprintf("request not sent: %v", f.Err)
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.Err }

// NotSent reports whether an error says that the request has not been sent.
func NotSent(err error) bool {
	var failure *Failure
	return errors.As(err, &failure) && !failure.Sent
}
