package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/quarantine"
	"gentiantide.example/gentiantide/internal/replica"
)

// errOtherSoftware is the error of an attempt whose replica has started again with
// another version, so that its events would not fit to those of the stream.
var errOtherSoftware = errors.New("replica has started again with other software")

// attempt is one request to one replica and its result.
type attempt struct {
	replica *replica.Replica
	run     *quarantine.Run
	// cancel ends the attempt with a cause, by the end of ctx.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// started is the start of the replica's process, and software what it runs, by its
	// registration when the request was sent.
	started  int64
	software replica.Software
	// unsendable is set if the attempt fails without a request, as the replica runs other
	// software than the stream needs.
	unsendable bool
	// resumes is set if the attempt goes on with a stream that another one began, after
	// the event resumeAfter.
	resumes     bool
	resumeAfter int64

	sent     time.Time
	response *replica.Response
	info     ResponseInfo
	err      error
	// answered is closed when the exchange of an attempt is over that a standby has
	// begun. It is nil for the others.
	answered chan struct{}
	released bool
}

// newAttempt returns an attempt at a replica that has admitted the request. It goes on
// with a stream if begunAt, the software that began it, is set.
func newAttempt(ctx context.Context, target *replica.Replica, run *quarantine.Run, begunAt *replica.Software, resumeAfter int64) *attempt {
	info := target.Info()
	a := &attempt{replica: target, run: run, started: info.Started, software: info.Software(), resumes: begunAt != nil, resumeAfter: resumeAfter}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	if begunAt != nil && a.software != *begunAt {
		a.unsendable, a.err = true, errOtherSoftware
	}
	return a
}

// notRun reports whether the attempt certainly did not run the request.
func (a *attempt) notRun() bool {
	if a.err != nil {
		return errors.Is(a.err, errOtherSoftware) || replica.NotSent(a.err)
	}
	return a.info.Misdirected || a.info.NotRun && !a.info.Foreign
}

// restarted reports whether the replica has registered with other software since the
// request was sent to it. What comes from it since then may be from either process.
func (a *attempt) restarted() bool { return a.replica.Info().Software() != a.software }

// exchange sends the request and reads the head of the response. It may run beside the
// goroutine that serves the request.
func (r *request) exchange(a *attempt) {
	if a.err != nil {
		a.release()
		return
	}
	a.sent = time.Now()
	a.response, a.err = a.replica.Send(a.ctx, &replica.Request{
		ID: r.reqInfo.ID, Method: r.in.Method, Target: r.in.RequestURI, Host: r.in.Host,
		Header: r.h.Codec.ReplicaHeader(r.in.Header, SendOptions{
			Remaining: r.deadline.Sub(a.sent), Replica: a.replica.Info().ID, ResumeAfter: a.resumeAfter,
			Identified: r.reqInfo.Identified, Org: r.reqInfo.Org,
		}),
		Body: r.body, HasBody: r.in.ContentLength != 0 || len(r.body) > 0,
		MatchResponse: r.h.Codec.ResponseMatcher(r.reqInfo.ID),
	})
	if a.err != nil {
		r.observeFailure(a)
		return
	}
	a.info = r.h.Codec.ParseResponse(r.reqInfo.ID, a.response.Status, a.response.Header)
	a.info.Record(a.replica, a.started, a.sent, r.reqInfo.ID, r.h.Log)
	switch {
	case a.info.Misdirected:
		a.replica.RecordFailure(time.Now())
		r.h.Log.Info("address belongs to another replica", "request", r.reqInfo.ID, "replica", a.replica.Info().ID)
	case a.info.Foreign: // whatever it is, it may have run the request
		wait := a.replica.RecordFailure(time.Now())
		r.h.Log.Info("response is not of a replica", "request", r.reqInfo.ID, "replica", a.replica.Info().ID, "status", a.response.Status, "avoid_ms", wait.Milliseconds())
	}
}

// observeFailure updates the state of a replica from an attempt without a response.
func (r *request) observeFailure(a *attempt) {
	if !a.notRun() {
		a.run.RecordEnd(a.err, true)
	}
	a.release()
	// A caller that disconnected, a deadline, the end of the node, a quarantine or a
	// silent replica that went on is no fault of the replica.
	if errors.Is(a.err, errRouteTimeout) && time.Since(a.sent) >= standbyAfter {
		a.replica.ObserveUnclear() // no head for so long
	}
	for _, harmless := range []error{context.Canceled, errRouteTimeout, errStopOver, errStandbyEnded, quarantine.ErrQuarantined} {
		if errors.Is(a.err, harmless) {
			return
		}
	}
	now := time.Now()
	wait := a.replica.RecordError(a.err, now)
	r.h.Log.Info("replica failed", "request", r.reqInfo.ID, "replica", a.replica.Info().ID,
		"error", a.err, "after_ms", now.Sub(a.sent).Milliseconds(), "avoid_ms", wait.Milliseconds())
}

// mayLackBody reports whether a response of which no byte of the body came may have been
// cut: it is a success whose body only the end of the connection ends.
func (r *request) mayLackBody(a *attempt) bool {
	return !a.response.Framed && a.response.Status < http.StatusMultipleChoices && r.in.Method != http.MethodHead
}

// release closes the response and removes the request from the replica's load.
// Later calls do nothing. The connection is reused if the response was read
// completely.
func (a *attempt) release() {
	if a.released {
		return
	}
	a.released = true
	if a.response != nil {
		a.response.Close()
	}
	if a.notRun() {
		a.run.RecordNotRun()
	}
	a.run.End()
	a.replica.End(core.ClassOnline)
}

// discard releases a response that is not passed on to the caller.
func (a *attempt) discard() {
	if a.err != nil {
		return
	}
	if a.info.Foreign { // unread, so that its connection is not reused
		a.release()
		return
	}
	buf := make([]byte, 512)
	for range 4 { // an error response is short; once it is read, the connection can be reused
		if _, err := a.response.Read(buf); err != nil {
			break
		}
	}
	a.release()
}
