package relay

import (
	"context"
	"time"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/dispatch"
)

// attempt is one send of the work to one replica. It holds the slot until
// finish.
type attempt struct {
	number int
	// stallable is set if the work may be sent again after it stalls.
	stallable bool
	slot      dispatch.Slot // nil if a hedge got none
	ctx       context.Context
	work      context.Context // the context of the whole work
	cancel    context.CancelCauseFunc

	request backend.GenerateRequest

	sent  time.Time
	began time.Duration // from sent to the beginning of the answer; 0: none
	err   error         // of sending

	stream backend.Stream
	token  backend.Token
	next   error // of the last call of Next
	answer backend.CallResponse

	failure failure
}

// open sends the work and reports on done, which must have room.
func (a *attempt) open(w work, done chan<- *attempt) {
	a.sent = time.Now()
	a.err = w.send(a.ctx, a)
	if a.err == nil {
		a.began = max(1, time.Since(a.sent))
		if reporter, ok := a.slot.(dispatch.FirstTokenReporter); ok {
			reporter.ReportFirstToken(a.began)
		}
	} else {
		a.failure = a.classify(a.err)
	}
	done <- a
}

func (a *attempt) classify(err error) failure {
	return classify(err, context.Cause(a.ctx), a.work.Err())
}

// mayHaveRun reports whether the backend server can have run the attempt.
func (a *attempt) mayHaveRun() bool {
	if a.slot == nil {
		return false
	}
	return a.err == nil || a.stream != nil || !certainlyNotRun(a.err)
}

// watchPreempted cancels the attempt when the slot is wanted back.
func (a *attempt) watchPreempted() {
	select {
	case <-a.slot.Preempted():
		a.cancel(errPreempted)
	case <-a.ctx.Done():
	}
}

// finish ends the attempt on the backend server and releases the slot.
func (a *attempt) finish(f failure, tokens int) {
	a.cancel(nil)
	if a.stream != nil {
		_ = a.stream.Close()
	}
	if a.slot == nil {
		return
	}
	a.slot.Release(dispatch.Observation{
		Failed:     f.backendFault(),
		Cancelled:  f == failurePreempted || f == failureCallerGone || f == failureDeadline,
		FirstToken: a.began,
		Total:      time.Since(a.sent),
		Tokens:     tokens,
	})
}
