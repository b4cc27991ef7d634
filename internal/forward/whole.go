package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// wholeBuffer is the largest answer that is read whole before the caller
	// gets it. A truncated one can then be fetched again.
	wholeBuffer = 1 << 20
	// silentAttempt is how long an answer is awaited from one replica while
	// another may be asked: over five times the usual work of a plain service.
	silentAttempt = 900 * time.Millisecond
)

var errSilent = errors.New("replica did not answer in time")

// serveWhole serves a request whose answer is passed on when it is complete.
func (r *request) serveWhole(ctx context.Context) Outcome {
	var last *wholeAnswer
	for r.mayRepeat() {
		target := r.place(ctx, false)
		if target == nil {
			break
		}
		attemptCtx, cancel := r.attemptContext(ctx)
		answer := r.readWhole(r.send(attemptCtx, target, NoResume))
		cancel()
		if answer == nil {
			continue
		}
		if answer.status < http.StatusInternalServerError {
			return r.deliver(answer)
		}
		last = answer
	}
	if last != nil {
		return r.deliver(last)
	}
	return r.giveUp(ctx)
}

// attemptContext bounds one attempt of a request that may go elsewhere.
func (r *request) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if !r.route.Repeatable() || r.runs+1 >= r.route.MaxAttempts {
		return context.WithCancel(ctx)
	}
	return context.WithTimeoutCause(ctx, silentAttempt, errSilent)
}

// wholeAnswer is a replica's answer that was read.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
	// rest is set if the body is longer than the buffer.
	rest *attempt
}

// readWhole reads the answer of an attempt. It returns nil for one that the
// caller must not get.
func (r *request) readWhole(a *attempt) *wholeAnswer {
	if a.err != nil {
		return nil
	}
	if a.info.NotRun || !a.info.Proven {
		a.drop()
		return nil
	}
	var body bytes.Buffer
	if a.answer.Length > 0 {
		body.Grow(int(min(a.answer.Length, wholeBuffer)) + bytes.MinRead)
	}
	n, err := body.ReadFrom(io.LimitReader(a.answer, wholeBuffer))
	answer := &wholeAnswer{status: a.answer.Status, header: a.answer.Header, body: body.Bytes()}
	if err == nil && n == wholeBuffer && !r.promises(answer.status) && answer.status < http.StatusInternalServerError {
		answer.rest = a
		return answer
	}
	if err == nil {
		// The limit hides the end of the body from the connection.
		_, err = a.answer.Read(make([]byte, 1))
		if errors.Is(err, io.EOF) {
			err = nil
		}
	}
	a.finish()
	if err != nil {
		a.replica.RecordFailure(time.Now())
		r.h.Log.Info("answer broke off", "request", r.call.ID, "replica", a.replica.Info().ID, "error", err)
		return nil
	}
	if a.answer.Status < http.StatusInternalServerError {
		a.replica.Succeeded()
	}
	return answer
}

// deliver passes an answer on to the caller.
func (r *request) deliver(answer *wholeAnswer) Outcome {
	status := answer.status
	if r.promises(status) {
		// The request has run, so that the replica's status would be untrue.
		refuse(r.w, http.StatusBadGateway, "replica_failure", 0)
		return OutcomeFailed
	}
	r.firstOut = time.Since(r.arrived)
	r.h.Codec.CallerHeader(r.w.Header(), answer.header)
	if answer.rest == nil {
		r.w.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	}
	r.w.WriteHeader(status)
	_, err := r.w.Write(answer.body)
	if answer.rest != nil {
		err = r.copyRest(answer.rest, err)
	}
	if err != nil {
		return OutcomeGone
	}
	if status >= http.StatusBadRequest {
		return OutcomeFailed
	}
	return OutcomeServed
}

// copyRest passes on what did not fit the buffer.
func (r *request) copyRest(a *attempt, err error) error {
	defer a.finish()
	if err != nil {
		return err
	}
	if _, err := io.Copy(r.w, a.answer); err != nil {
		r.h.Log.Info("long answer broke off", "request", r.call.ID, "replica", a.replica.Info().ID, "error", err)
		panic(http.ErrAbortHandler) // the caller must not take it for complete
	}
	return nil
}

// promises reports whether a status tells the caller that its request has not
// run, though one that is not to be repeated has.
func (r *request) promises(status int) bool {
	if r.route.Repeatable() {
		return false
	}
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
