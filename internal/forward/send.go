package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/placement"
	"gentiantide.example/gentiantide/internal/quarantine"
	"gentiantide.example/gentiantide/internal/replica"
)

const (
	// maxSends limits the attempts for one request, including those that a replica
	// declined without running the request.
	maxSends = 5
	// minRemaining is the least time before the deadline at which another attempt
	// is made.
	minRemaining = 20 * time.Millisecond
	// firstTokenTime is how long before its caller gives up a request must get a slot.
	firstTokenTime = 50 * time.Millisecond
	// defaultObjective is the objective of a route that sets none.
	defaultObjective = 300 * time.Millisecond
)

// errOtherSoftware is the error of an attempt whose replica has started again with
// another version, so that its events would not fit to those of the stream.
var errOtherSoftware = errors.New("replica has started again with other software")

// attempt is one request to one replica and its result.
type attempt struct {
	replica  *replica.Replica
	response *replica.Response
	run      *quarantine.Run
	sent     time.Time
	// started is the start of the replica's process, and software what it runs, by its
	// registration when the request was sent.
	started  int64
	software replica.Software
	// resumes is set if the attempt goes on with a stream that another one began.
	resumes  bool
	info     ResponseInfo
	err      error
	released bool
}

// notRun reports whether the attempt certainly did not run the request.
func (a *attempt) notRun() bool {
	if a.err != nil {
		var failure *replica.Failure
		return errors.As(a.err, &failure) && !failure.Sent
	}
	return a.info.NotRun
}

// restarted reports whether the replica has registered with other software since the
// request was sent to it. What comes from it since then may be from either process.
func (a *attempt) restarted() bool { return a.replica.Info().Software() != a.software }

// place chooses a replica for the next attempt and counts the request on its load.
// It returns nil if no replica is available, or no attempt or time is left.
func (r *request) place(ctx context.Context) *replica.Replica {
	began := time.Now()
	if r.sends >= maxSends || r.deadline.Sub(began) < minRemaining || ctx.Err() != nil {
		return nil
	}
	target, wait := r.h.Placer.Place(ctx, r.query(began))
	r.placementTime += time.Since(began)
	r.expectedWait = wait
	if target == nil {
		return nil
	}
	return r.admit(target)
}

// query describes the request to the placer.
func (r *request) query(now time.Time) *placement.Query {
	query := &placement.Query{
		Tried: r.tried, Arrived: r.arrived,
		Objective: r.objective(), MaxWait: r.maxWait(r.lastProgress), Urgent: r.headerSent || r.takesUp(), Identity: r.identity,
	}
	if r.begunAt != nil {
		query.Service, query.Version = r.begunAt.Service, &r.begunAt.Version
	} else {
		query.Service, query.Version = r.pickService(now), r.preferredVersion()
	}
	return query
}

// admit prepares an attempt at a replica that was placed. It releases the replica and
// returns nil if the request must not be sent.
func (r *request) admit(target *replica.Replica) *replica.Replica {
	now := time.Now()
	r.busy, r.slowdown = target.EstimatedLoad(now), target.Slowdown(now)
	run, ok := r.h.Quarantine.Begin(r.parts, target)
	if !ok { // another request is the trial
		target.End(core.ClassOnline)
		return nil
	}
	r.run = run
	return target
}

// nextReplica returns the replica that took the request over from a silent one, or
// places the request.
func (r *request) nextReplica(ctx context.Context) *replica.Replica {
	if granted := r.granted; granted != nil {
		r.granted = nil
		return r.admit(granted)
	}
	return r.place(ctx)
}

// releaseGranted gives back a replica to which the request was not sent.
func (r *request) releaseGranted() {
	if r.granted != nil {
		r.granted.End(core.ClassOnline)
		r.granted = nil
	}
}

// objective is the target time from arrival to the start of the response.
func (r *request) objective() time.Duration {
	if r.route.Objective > 0 {
		return r.route.Objective
	}
	return defaultObjective
}

// maxWait is how long after its arrival the request may wait for a slot if the caller
// was last sent something at a time. Callers of a stream wait for its next event as long
// as for the first one.
func (r *request) maxWait(lastProgress time.Time) time.Duration {
	maxWait := r.deadline.Sub(r.arrived)
	if idle := r.route.CallerIdleTimeout; idle > 0 {
		maxWait = min(maxWait, lastProgress.Add(idle).Sub(r.arrived))
	}
	return maxWait - firstTokenTime
}

// send sends the request to the replica that place returned.
func (r *request) send(ctx context.Context, target *replica.Replica, resumeAfter int64) *attempt {
	now := time.Now()
	info := target.Info()
	r.tried = append(r.tried, info.ID)
	r.sends++
	a := &attempt{replica: target, run: r.run, sent: now, started: info.Started, software: info.Software(), resumes: r.begunAt != nil}
	r.attempt = a
	if r.begunAt != nil && a.software != *r.begunAt {
		a.err = errOtherSoftware
		a.release()
		return a
	}
	if r.recording != nil {
		r.recording.Send(info.Version)
	}
	a.response, a.err = target.Send(ctx, &replica.Request{
		ID: r.reqInfo.ID, Method: r.in.Method, Target: r.in.RequestURI, Host: r.in.Host,
		Header: r.h.Codec.ReplicaHeader(r.in.Header, SendOptions{
			Remaining: r.deadline.Sub(now), Replica: info.ID, ResumeAfter: resumeAfter,
		}),
		Body: r.body, HasBody: r.in.ContentLength != 0 || len(r.body) > 0,
		MatchResponse: r.h.Codec.ResponseMatcher(r.reqInfo.ID),
	})
	r.recordResult(a)
	return a
}

// recordResult counts runs and updates the state of the replica from the result of
// the attempt.
func (r *request) recordResult(a *attempt) {
	now := time.Now()
	if a.err != nil {
		if !a.notRun() {
			r.runs++
			a.run.RecordEnd(a.err, true)
		}
		a.release()
		// A caller that disconnected, a deadline or a quarantine is no fault of the
		// replica.
		if !errors.Is(a.err, context.Canceled) && !errors.Is(a.err, errRouteTimeout) && !errors.Is(a.err, quarantine.ErrQuarantined) {
			wait := a.replica.RecordError(a.err, now)
			r.h.Log.Info("replica failed", "request", r.reqInfo.ID, "replica", a.replica.Info().ID,
				"error", a.err, "after_ms", now.Sub(a.sent).Milliseconds(), "avoid_ms", wait.Milliseconds())
		}
		return
	}
	a.info = r.h.Codec.ParseResponse(a.response.Status, a.response.Header)
	a.info.Record(a.replica, a.started, a.sent, r.reqInfo.ID, r.h.Log)
	switch {
	case a.info.Misdirected:
		a.replica.RecordFailure(now)
		r.h.Log.Info("address belongs to another replica", "request", r.reqInfo.ID, "replica", a.replica.Info().ID)
	case !a.info.NotRun:
		r.runs++
	}
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
	a.run.End()
	a.replica.End(core.ClassOnline)
}

// discard releases a response that is not passed on to the caller.
func (a *attempt) discard() {
	if a.err != nil {
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

// mayRetry reports whether another replica may run the request: it has not run yet,
// or the route permits more runs.
func (r *request) mayRetry() bool {
	return r.runs == 0 || r.route.Retryable() && r.runs < max(1, r.route.MaxAttempts)
}

// respondFailure sends the error response for a request to which no replica
// responded.
func (r *request) respondFailure(ctx context.Context) Outcome {
	if r.in.Context().Err() != nil {
		return OutcomeCallerGone
	}
	timedOut := context.Cause(ctx) != nil || time.Until(r.deadline) < minRemaining
	switch {
	case r.runs == 0 && r.refuseQuarantined():
		return OutcomeRefused
	case r.runs > 0 && errors.Is(context.Cause(ctx), quarantine.ErrQuarantined):
		refuse(r.w, http.StatusBadGateway, "quarantined", 0)
		return OutcomeBroken
	case r.runs == 0:
		refuse(r.w, http.StatusServiceUnavailable, "no_capacity", r.retryAfter())
		return OutcomeRefused
	case timedOut:
		refuse(r.w, http.StatusGatewayTimeout, "timeout", 0)
		return OutcomeTimeout
	default:
		refuse(r.w, http.StatusBadGateway, "no_answer", 0)
		return OutcomeBroken
	}
}

const (
	// minRetryAfter is the least time after which a refused caller should retry. A
	// slot of a model engine becomes free about every 90 ms.
	minRetryAfter = 200 * time.Millisecond
	// minRetryJitter and retryJitterShare spread the retries of callers that were
	// refused at the same time: over that share of the wait, and not over less than
	// that time.
	minRetryJitter   = 300 * time.Millisecond
	retryJitterShare = 0.5
)

func (r *request) retryAfter() time.Duration {
	wait := max(minRetryAfter, r.expectedWait)
	jitter := max(minRetryJitter, time.Duration(retryJitterShare*float64(wait)))
	return wait + time.Duration(r.arrived.UnixNano()%int64(jitter))
}
