package relay

import (
	"context"
	"time"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/dispatch"
)

// attempt is one send of a request to one replica. It holds its slot until
// finish is called.
type attempt struct {
	number int
	// retryAfterStall is set if the request may be sent again after a stall.
	retryAfterStall bool
	slot            dispatch.Slot // nil if a hedge got no slot
	ctx             context.Context
	requestCtx      context.Context // of the whole request, over all attempts
	cancel          context.CancelCauseFunc

	backendRequest backend.GenerateRequest

	sentAt time.Time
	// firstToken is the time from sentAt to the first token or, for a plain call, to
	// the response; 0 if none arrived.
	firstToken time.Duration
	err        error // of sending the request or receiving the first token

	stream   backend.Stream
	token    backend.Token
	nextErr  error // returned with token by stream.Next
	response backend.CallResponse

	failure failure
}

// sendAndReport sends the request and then passes the attempt to done, which must
// have buffer space for it.
func (a *attempt) sendAndReport(req request, done chan<- *attempt) {
	a.sentAt = time.Now()
	a.err = req.send(a.ctx, a)
	if a.err == nil {
		a.firstToken = max(1, time.Since(a.sentAt))
		if reporter, ok := a.slot.(dispatch.FirstTokenReporter); ok {
			reporter.ReportFirstToken(a.firstToken)
		}
	} else {
		a.failure = a.classify(a.err)
	}
	done <- a
}

func (a *attempt) classify(err error) failure {
	return classify(err, context.Cause(a.ctx), a.requestCtx.Err())
}

// mayHaveRun reports whether the backend server may have run the attempt.
func (a *attempt) mayHaveRun() bool {
	if a.slot == nil {
		return false
	}
	return a.err == nil || a.stream != nil || !certainlyNotRun(a.err)
}

// cancelOnPreemption waits until the attempt ends and cancels it if its slot is
// preempted before that.
func (a *attempt) cancelOnPreemption() {
	select {
	case <-a.slot.Preempted():
		a.cancel(errPreempted)
	case <-a.ctx.Done():
	}
}

// finish cancels the attempt if it is still running and releases its slot.
func (a *attempt) finish(f failure, tokens int) {
	a.cancel(nil)
	if a.stream != nil {
		_ = a.stream.Close()
	}
	if a.slot == nil {
		return
	}
	a.slot.Release(dispatch.Observation{
		Failed:     f.isBackendFault(),
		Cancelled:  f == failurePreempted || f == failureCallerGone || f == failureDeadline,
		FirstToken: a.firstToken,
		Total:      time.Since(a.sentAt),
		Tokens:     tokens,
	})
}
