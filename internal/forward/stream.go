package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"gentiantide.example/gentiantide/internal/events"
)

const (
	// streamBuffer takes a few events of a stream at once.
	streamBuffer = 4 << 10
	// silentStream is the pause after which a stream that may be resumed goes
	// on elsewhere: several times the longest pause on time, and before callers
	// leave after 2 s.
	silentStream = 1200 * time.Millisecond
)

var (
	errEventOrder  = errors.New("event out of order")
	errPartEvent   = errors.New("stream ended within an event")
	errCallerWrite = errors.New("caller does not read")
)

// relay is the state of one answer that is a stream.
type relay struct {
	r       *request
	out     *http.ResponseController
	last    int64 // last event that the caller has
	hasLast bool
}

// serveStream serves a request that is answered by events.
func (r *request) serveStream(ctx context.Context) Outcome {
	s := &relay{r: r, out: http.NewResponseController(r.w), last: NoResume}
	for r.mayRepeat() {
		outcome, done := s.attempt(ctx)
		if done {
			return outcome
		}
	}
	if !r.answered {
		return r.giveUp(ctx)
	}
	return s.abort(ctx)
}

// attempt sends the request once and relays what comes.
func (s *relay) attempt(ctx context.Context) (Outcome, bool) {
	r := s.r
	target := r.place(ctx, r.answered)
	if target == nil {
		if !r.answered {
			return r.giveUp(ctx), true
		}
		return s.abort(ctx), true
	}
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := s.watchdog(cancel)
	defer watchdog.Stop()
	a := r.send(attemptCtx, target, s.last)
	switch {
	case a.err != nil:
		return "", false
	case a.info.NotRun:
		a.drop()
		return "", false
	case a.answer.Status != http.StatusOK:
		return s.failure(a)
	case !a.info.Proven:
		r.h.Log.Info("answer without proof", "request", r.call.ID, "replica", a.replica.Info().ID)
		a.drop()
		return "", false
	}
	err := s.copy(a, watchdog)
	a.finish()
	switch {
	case err == nil:
		a.replica.Succeeded()
		return OutcomeServed, true
	case errors.Is(err, errCallerWrite) || r.in.Context().Err() != nil:
		return OutcomeGone, true
	}
	if ctx.Err() == nil {
		a.replica.RecordFailure(time.Now())
	}
	r.h.Log.Info("stream broke off", "request", r.call.ID, "replica", a.replica.Info().ID,
		"last_event", s.last, "error", err, "cause", context.Cause(attemptCtx))
	return "", false
}

// watchdog ends an attempt that is silent for too long, if the stream may go on
// elsewhere.
func (s *relay) watchdog(cancel context.CancelCauseFunc) *time.Timer {
	r := s.r
	if !r.route.CanResume || r.runs+1 >= r.route.MaxAttempts {
		timer := time.NewTimer(time.Hour)
		timer.Stop()
		return timer
	}
	return time.AfterFunc(silentStream, func() { cancel(errSilent) })
}

// failure handles an answer that is not a stream.
func (s *relay) failure(a *attempt) (Outcome, bool) {
	r := s.r
	if r.answered || !a.info.Proven {
		a.drop()
		return "", false
	}
	answer := r.readWhole(a)
	if answer == nil || answer.status >= http.StatusInternalServerError && r.mayRepeat() {
		return "", false
	}
	return r.deliver(answer), true
}

// copy relays events until the stream ends. It returns nil only for a stream
// that is complete.
func (s *relay) copy(a *attempt, watchdog *time.Timer) error {
	var splitter events.Splitter
	buf := make([]byte, streamBuffer)
	resumed := s.hasLast
	for {
		n, err := a.answer.Read(buf)
		if n > 0 {
			if watchdog.Stop() {
				watchdog.Reset(silentStream)
			}
			if addErr := s.add(a, &splitter, buf[:n]); addErr != nil {
				return addErr
			}
		}
		if errors.Is(err, io.EOF) {
			return s.end(a, splitter.Rest(), resumed)
		}
		if err != nil {
			return err
		}
	}
}

// add relays the events that the new bytes complete.
func (s *relay) add(a *attempt, splitter *events.Splitter, p []byte) error {
	wrote := false
	err := splitter.Add(p, func(e events.Event) error {
		if e.HasID {
			if s.hasLast && e.ID != s.last+1 {
				return errEventOrder
			}
			s.last, s.hasLast = e.ID, true
		}
		s.head(a)
		wrote = true
		if _, err := s.r.w.Write(e.Raw); err != nil {
			return errCallerWrite
		}
		return nil
	})
	if wrote {
		if flushErr := s.out.Flush(); err == nil && flushErr != nil {
			err = errCallerWrite
		}
	}
	return err
}

// head sends the head of the answer, once: that of the first replica.
func (s *relay) head(a *attempt) {
	if s.r.answered {
		return
	}
	s.r.answered = true
	s.r.firstOut = time.Since(s.r.arrived)
	s.r.h.Codec.CallerHeader(s.r.w.Header(), a.answer.Header)
	s.r.w.WriteHeader(a.answer.Status)
}

// end closes a stream that the replica completed.
func (s *relay) end(a *attempt, rest []byte, resumed bool) error {
	if len(rest) > 0 && (resumed || s.r.route.CanResume) {
		return errPartEvent
	}
	s.head(a)
	if len(rest) > 0 {
		if _, err := s.r.w.Write(rest); err != nil {
			return errCallerWrite
		}
	}
	return nil
}

// abort breaks the caller's connection in the middle of an answer, so that it
// cannot be taken for complete.
func (s *relay) abort(ctx context.Context) Outcome {
	outcome := OutcomeBroken
	switch {
	case s.r.in.Context().Err() != nil:
		outcome = OutcomeGone
	case ctx.Err() != nil:
		outcome = OutcomeTimeout
	}
	s.r.h.Counters.End(s.r.route.Name, outcome, time.Since(s.r.arrived))
	s.r.log(outcome)
	panic(http.ErrAbortHandler)
}
