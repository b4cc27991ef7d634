package httpsend

import "errors"

// Error is a request that got no complete answer.
type Error struct {
	// MaybeSent is false only if no byte of the request was sent or will be sent.
	MaybeSent bool
	// Err is the cause.
	Err error
}

// Error returns the cause and how far the request got.
func (e *Error) Error() string {
	if e.MaybeSent {
		return "no complete answer: " + e.Err.Error()
	}
	return "not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// MaybeSent reports whether the request behind err may have been sent. It is true
// for errors of unknown origin.
func MaybeSent(err error) bool {
	var e *Error
	return !errors.As(err, &e) || e.MaybeSent
}
