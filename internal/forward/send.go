package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/placement"
	"gentiantide.example/gentiantide/internal/replica"
)

const (
	// maxSends bounds the replicas that one request is offered to, including
	// those that declare that they did not run it.
	maxSends = 5
	// minRemaining is the least time that is worth a send.
	minRemaining = 20 * time.Millisecond
	// defaultObjective is that of a route that names none.
	defaultObjective = 300 * time.Millisecond
)

// attempt is one send to one replica.
type attempt struct {
	replica *replica.Replica
	answer  *replica.Answer
	info    AnswerInfo
	err     error
}

// notRun reports whether the request certainly did not run at the replica.
func (a *attempt) notRun() bool {
	if a.err != nil {
		var failure *replica.Failure
		return errors.As(a.err, &failure) && !failure.Sent
	}
	return a.info.NotRun
}

// place finds a replica for the request and counts the request there. It
// returns nil if there is none that may get it.
func (r *request) place(ctx context.Context, urgent bool) *replica.Replica {
	began := time.Now()
	if r.sends >= maxSends || r.deadline.Sub(began) < minRemaining || ctx.Err() != nil {
		return nil
	}
	target, wait := r.h.Placer.Place(ctx, &placement.Query{
		Service: r.route.Pick(uint64(began.UnixNano())), Tried: r.tried, Arrived: r.arrived,
		Objective: r.objective(), Patience: r.patience(), Urgent: urgent,
	})
	now := time.Now()
	r.waited += now.Sub(began)
	r.slotIn = wait
	if target != nil {
		r.busy, r.slowdown = target.Busy(now), target.Slowdown(now)
	}
	return target
}

// objective is the time in which the answer should begin.
func (r *request) objective() time.Duration {
	if r.route.Objective > 0 {
		return r.route.Objective
	}
	return defaultObjective
}

// patience is how long after its arrival the request may wait for a slot.
func (r *request) patience() time.Duration {
	patience := r.deadline.Sub(r.arrived) - minRemaining
	if r.route.Patience > 0 {
		patience = min(patience, r.route.Patience)
	}
	return patience
}

// send sends the request to the replica at which it was counted.
func (r *request) send(ctx context.Context, target *replica.Replica, resumeAfter int64) *attempt {
	now := time.Now()
	info := target.Info()
	r.tried = append(r.tried, info.ID)
	r.sends++
	a := &attempt{replica: target}
	a.answer, a.err = target.Send(ctx, &replica.Request{
		Method: r.in.Method, Target: r.in.RequestURI, Host: r.in.Host,
		Header: r.h.Codec.ReplicaHeader(r.in.Header, Send{
			Remaining: r.deadline.Sub(now), Replica: info.ID, ResumeAfter: resumeAfter,
		}),
		Body: r.body, HasBody: r.in.ContentLength != 0 || len(r.body) > 0,
		Answers: r.h.Codec.Belongs(r.call.ID),
	})
	r.judge(a, now)
	return a
}

// judge records what the send says of the replica.
func (r *request) judge(a *attempt, sent time.Time) {
	now := time.Now()
	if a.err != nil {
		a.replica.End(core.ClassOnline)
		if !a.notRun() {
			r.runs++
		}
		// A caller that left, or a deadline, says nothing of the replica.
		if !errors.Is(a.err, context.Canceled) && !errors.Is(a.err, errRouteTimeout) {
			wait := a.replica.Blame(a.err, now)
			r.h.Log.Info("replica failed", "request", r.call.ID, "replica", a.replica.Info().ID,
				"error", a.err, "after_ms", now.Sub(sent).Milliseconds(), "avoid_ms", wait.Milliseconds())
		}
		return
	}
	a.info = r.h.Codec.Answer(a.answer.Status, a.answer.Header)
	if a.info.Load != nil {
		a.replica.Reported(*a.info.Load, now)
	}
	switch {
	case a.info.Misdirected:
		a.replica.RecordFailure(now)
		r.h.Log.Info("replica is not at its address", "request", r.call.ID, "replica", a.replica.Info().ID)
	case !a.info.NotRun:
		r.runs++
	}
}

// finish releases the replica. A complete answer keeps the connection.
func (a *attempt) finish() {
	a.answer.Close()
	a.replica.End(core.ClassOnline)
}

// drop ends an answer that is not passed on.
func (a *attempt) drop() {
	if a.err != nil {
		return
	}
	buf := make([]byte, 512)
	for range 4 { // a refusal is short; reading it keeps the connection
		if _, err := a.answer.Read(buf); err != nil {
			break
		}
	}
	a.finish()
}

// mayRepeat reports whether another replica may run the request.
func (r *request) mayRepeat() bool {
	return r.runs == 0 || r.route.Repeatable() && r.runs < max(1, r.route.MaxAttempts)
}

// giveUp sends the final answer of a request that no replica answered.
func (r *request) giveUp(ctx context.Context) Outcome {
	if r.in.Context().Err() != nil {
		return OutcomeGone
	}
	timedOut := context.Cause(ctx) != nil || time.Until(r.deadline) < minRemaining
	switch {
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
	// retryBase is the least time after which a refused caller should return:
	// a slot of a model engine turns over about every 90 ms.
	retryBase = 200 * time.Millisecond
	// retrySpread spreads the returns of callers that were refused together.
	retrySpread = 300 * time.Millisecond
)

func (r *request) retryAfter() time.Duration {
	return max(retryBase, r.slotIn) + time.Duration(r.arrived.UnixNano()%int64(retrySpread))
}
