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
	// organisationWeight is the weight of each organisation among those whose requests
	// wait: the configuration names none, so all are equal.
	organisationWeight = 1
	// defaultObjective is the objective of a route that sets none.
	defaultObjective = 300 * time.Millisecond
)

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

// mayPlaceAgain reports whether a stream that has begun may ask once more for a replica.
func (r *request) mayPlaceAgain(ctx context.Context) bool {
	wait := time.Until(r.arrived.Add(r.maxWait(r.lastProgress)))
	return ctx.Err() == nil && r.sends < maxSends && wait > standbyRetryInterval &&
		r.begunAt != nil && r.h.Versions.HasReplica(r.begunAt.Service, r.begunAt.Version)
}

// query describes the request to the placer.
func (r *request) query(now time.Time) *placement.Query {
	query := &placement.Query{
		Tried: r.tried, Arrived: r.arrived,
		Objective: r.objective(), MaxWait: r.maxWait(r.lastProgress), Urgent: r.headerSent || r.takesUp(), Identity: r.identity,
		Prompt: r.prompt, Tokens: r.tokens,
		Org: r.reqInfo.Org, Weight: organisationWeight, Priority: r.route.PriorityFor(r.org), Repeatable: r.runs == 0 && r.route.Retryable() && r.route.MaxAttempts > 1,
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

// nextAttempt returns the attempt that took the request over from a silent replica, or
// a new one at a replica that it places the request at, or nil if there is none.
func (r *request) nextAttempt(ctx context.Context, resumeAfter int64) *attempt {
	if a := r.takesOver; a != nil {
		r.takesOver = nil
		if a.resumeAfter == resumeAfter && (r.begunAt == nil || a.software == *r.begunAt) {
			return a
		}
		r.drop(a) // the silent replica has sent something at the last moment
	}
	target := r.place(ctx)
	if target == nil {
		return nil
	}
	return newAttempt(ctx, target, r.run, r.begunAt, resumeAfter)
}

// drop ends an attempt that took the request over and is not needed.
func (r *request) drop(a *attempt) {
	a.cancel(errStandbyEnded)
	<-a.answered
	a.release()
	r.count(a)
}

// settle ends the standby of an attempt that has failed or not, and counts what it has
// sent.
func (r *request) settle(s *standby, failed bool) {
	takesOver, ended := s.stop(failed)
	r.takesOver = takesOver
	for _, a := range ended {
		r.count(a)
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

// send makes an attempt, or waits for the answer to one that a standby has begun.
func (r *request) send(a *attempt) {
	r.attempt = a
	if r.recording != nil && !a.unsendable {
		r.recording.Send(a.software.Version)
	}
	if a.answered != nil {
		<-a.answered
	} else {
		r.exchange(a)
	}
	r.count(a)
}

// count counts an attempt whose exchange is over.
func (r *request) count(a *attempt) {
	r.tried = append(r.tried, a.replica.Info().ID)
	r.sends++
	if !a.notRun() {
		r.runs++
	}
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
