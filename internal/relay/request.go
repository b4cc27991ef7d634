package relay

import "context"

// request is what the relay sends to a backend server: a generation or a plain
// call.
type request interface {
	// prepare copies to the attempt what send needs. It is called from the
	// executor's goroutine, which may change the request while send runs.
	prepare(a *attempt)
	// send sends the request once to the backend server of the attempt and waits
	// for the first token or, for a plain call, for the response. It is called from
	// the attempt's own goroutine and writes only to the attempt.
	send(ctx context.Context, a *attempt) error
	// consume receives the rest of the response of an attempt whose send succeeded.
	consume(a *attempt) (failure, error)
	// delivered returns the number of tokens that the sink has received.
	delivered() int
}
