package relay

import "context"

// work is what a run sends: a generation or a plain call.
type work interface {
	// prepare stores in the attempt what send needs. It is called from the
	// goroutine of the run, which may change the work while send runs.
	prepare(a *attempt)
	// send sends the work once to the backend server of the attempt and waits
	// for the beginning of its answer. It is called from the attempt's own
	// goroutine and writes to the attempt only.
	send(ctx context.Context, a *attempt) error
	// consume takes the rest of the answer of an attempt whose send succeeded.
	consume(a *attempt) (failure, error)
	// delivered is the number of tokens that the caller has.
	delivered() int
}
