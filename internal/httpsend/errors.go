package httpsend

import "errors"

// ErrTooLong is the cause if the body of a response is longer than the caller reads.
var ErrTooLong = errors.New("response body exceeds the limit")

// Error means that a request got no complete response.
type Error struct {
	// MaybeSent is false only if no byte of the request was sent or will be sent.
	MaybeSent bool
	Err       error
}

// Error returns the cause and whether the request may have been sent.
func (e *Error) Error() string {
	if e.MaybeSent {
		return "no complete response: " + e.Err.Error()
	}
	return "not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// MaybeSent reports whether the request that failed with err may have been sent. It
// is true for any error that is not an *Error.
func MaybeSent(err error) bool {
	var e *Error
	return !errors.As(err, &e) || e.MaybeSent
}
