package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// maxBufferedBody is the largest response body that is read completely before
	// it is sent to the caller. If such a response is truncated, the request can
	// still be retried. The usual body has less than 1 KiB.
	maxBufferedBody = 256 << 10
	// standbyAfter is the time without a complete response after which another replica
	// may take the request over. It is over five times the usual response time of a
	// service that does not stream.
	standbyAfter = 900 * time.Millisecond
	// deadlineSlack is how long before the deadline of a request a replica may give it up
	// because of the deadline: its answer needs that time.
	deadlineSlack = 50 * time.Millisecond
)

var (
	errReplicaTimeout = errors.New("replica did not respond in time")
	errNoBody         = fmt.Errorf("response without a length ended before its body: %w", io.ErrUnexpectedEOF)
)

// serveBuffered serves a request whose response is sent to the caller only after it
// was read completely. Responses above maxBufferedBody are the exception.
func (r *request) serveBuffered(ctx context.Context) Outcome {
	var last *bufferedResponse
	for r.mayRetry() {
		a := r.nextAttempt(ctx, NoResume)
		if a == nil {
			break
		}
		standby := r.newStandby(ctx, a, standbyAfter)
		r.send(a)
		response := r.readBuffered(a)
		r.settle(standby, response == nil || response.status >= http.StatusInternalServerError)
		if response != nil && response.unread != nil && a.ctx.Err() == nil {
			// The end of the context would abort the connection with the rest of the body.
			defer a.cancel(nil)
			return r.deliver(response)
		}
		a.cancel(nil)
		if response == nil {
			continue
		}
		if response.unread != nil { // the attempt was ended at this moment
			response.unread.release()
			continue
		}
		if response.status < http.StatusInternalServerError {
			return r.deliver(response)
		}
		last = response
	}
	if last != nil {
		return r.deliver(last)
	}
	return r.respondFailure(ctx)
}

// bufferedResponse is a response that was read from a replica.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// length is the length that the replica named, or -1. A response to HEAD has no body
	// of it.
	length int64
	// unread is the attempt with the unread part of a body above maxBufferedBody,
	// else nil.
	unread *attempt
}

// readBuffered reads the response of an attempt. It returns nil if there is none, or
// if it must not be sent to the caller: it is incomplete, has no signature, or says
// that the request has not run.
func (r *request) readBuffered(a *attempt) *bufferedResponse {
	if a.err != nil {
		return nil
	}
	if a.info.NotRun || !a.info.Signed {
		a.discard()
		return nil
	}
	var body bytes.Buffer
	if a.response.Length > 0 {
		body.Grow(int(min(a.response.Length, maxBufferedBody)) + bytes.MinRead)
	}
	n, err := body.ReadFrom(io.LimitReader(a.response, maxBufferedBody))
	response := &bufferedResponse{status: a.response.Status, header: a.response.Header, body: body.Bytes(), length: a.response.Length}
	if err == nil && n == maxBufferedBody && !r.claimsNotRun(response.status) && response.status < http.StatusInternalServerError {
		response.unread = a
		return response
	}
	if err == nil {
		// The LimitReader may have stopped before io.EOF, which the connection must
		// see to be reused.
		_, err = a.response.Read(make([]byte, 1))
		if errors.Is(err, io.EOF) {
			err = nil
		}
	}
	if err == nil && n == 0 && r.mayLackBody(a) {
		err = errNoBody
	}
	a.run.RecordWhole(a.sent, a.response.Status >= http.StatusInternalServerError, err, a.response.Framed)
	a.release()
	if err != nil {
		a.replica.RecordFailure(time.Now())
		r.h.Log.Info("response interrupted", "request", r.reqInfo.ID, "replica", a.replica.Info().ID, "error", err)
		return nil
	}
	if a.response.Status < http.StatusInternalServerError {
		a.replica.RecordSuccess()
		a.replica.ObserveSuccess(a.sent)
	} else if r.outOfTime(a.response.Status) || r.runs > 1 {
		a.replica.ObserveUnclear()
	} else {
		a.replica.ObserveFailure()
	}
	return response
}

// deliver sends a response to the caller.
func (r *request) deliver(response *bufferedResponse) Outcome {
	status := response.status
	if r.claimsNotRun(status) {
		// The request has run, but the replica's status would tell the caller that it
		// has not.
		refuse(r.w, http.StatusBadGateway, "replica_failure", 0)
		return OutcomeFailed
	}
	r.firstByte = time.Since(r.arrived)
	r.h.Codec.CallerHeader(r.w.Header(), response.header)
	length := int64(len(response.body))
	if response.unread != nil || r.in.Method == http.MethodHead {
		length = response.length
	}
	if length >= 0 {
		// A caller that knows no chunks notices by it that the rest is missing.
		r.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	r.w.WriteHeader(status)
	_, err := r.w.Write(response.body)
	if response.unread != nil {
		err = r.copyRemainder(response.unread, err)
	}
	if err != nil {
		return OutcomeCallerGone
	}
	if status >= http.StatusBadRequest {
		return OutcomeFailed
	}
	return OutcomeServed
}

// copyRemainder forwards the part of the body that was not buffered. It panics with
// http.ErrAbortHandler if the response is interrupted.
func (r *request) copyRemainder(a *attempt, err error) error {
	defer a.release()
	if err != nil {
		return err
	}
	if _, err := io.Copy(r.w, a.response); err != nil {
		r.h.Log.Info("response interrupted after its start was sent to the caller", "request", r.reqInfo.ID, "replica", a.replica.Info().ID, "error", err)
		panic(http.ErrAbortHandler) // closes the connection, so that the caller does not take it for complete
	}
	return nil
}

// outOfTime reports whether a replica gave the request up at the deadline that it was
// told. That may be the fault of the request.
func (r *request) outOfTime(status int) bool {
	return status == http.StatusGatewayTimeout && time.Until(r.deadline) < deadlineSlack
}

// claimsNotRun reports whether the status would tell the caller of a non-repeatable
// request that it has not run, although it has.
func (r *request) claimsNotRun(status int) bool {
	if r.route.Retryable() {
		return false
	}
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
