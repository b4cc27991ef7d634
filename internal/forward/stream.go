package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"gentiantide.example/gentiantide/internal/sse"
)

const (
	// streamBuffer is the size of the read buffer: room for a few events.
	streamBuffer = 4 << 10
	// streamStallShare is the part of the pause after which callers disconnect in
	// which a complete event must arrive. After that, a resumable stream is resumed
	// at another replica, if there is one, which has the rest of the time for its first
	// event.
	streamStallShare = 0.6
)

var (
	errEventOrder     = errors.New("event ID out of sequence")
	errForeignBytes   = errors.New("stream holds bytes that are no event")
	errTruncatedEvent = fmt.Errorf("stream ended within an event: %w", io.ErrUnexpectedEOF)
	errNoEvent        = fmt.Errorf("stream without a length ended before its first event: %w", io.ErrUnexpectedEOF)
	errCallerWrite    = errors.New("write to caller failed")
)

// streamRelay forwards one event stream to the caller, from one replica after
// another if it is resumed.
type streamRelay struct {
	r            *request
	out          *http.ResponseController
	lastEvent    int64 // ID of the last event sent to the caller
	hasLastEvent bool
	// resumed is set while the response of a further replica is forwarded.
	resumed bool
	// unnumbered is set once something without an ID was forwarded, other than a comment
	// of an event stream. No replica can resume the stream after it.
	unnumbered bool
	// softwareUnknown is set once it is not known any more which version began the
	// stream. No replica can resume it.
	softwareUnknown bool
}

// serveStream serves a request whose response is an event stream.
func (r *request) serveStream(ctx context.Context) Outcome {
	if !r.prepareVersion(ctx) {
		return OutcomeRefused
	}
	s := &streamRelay{r: r, out: http.NewResponseController(r.w), lastEvent: NoResume}
	for r.mayRetry() && !s.unnumbered && !s.softwareUnknown {
		outcome, done := s.attempt(ctx)
		if done {
			return outcome
		}
	}
	if !r.headerSent {
		return r.respondFailure(ctx)
	}
	return s.abort(ctx)
}

// attempt sends the request to one replica and forwards the response. It reports
// false if another attempt may be made.
func (s *streamRelay) attempt(ctx context.Context) (outcome Outcome, done bool) {
	r := s.r
	a := s.nextAttempt(ctx)
	if a == nil {
		if !r.headerSent {
			return r.respondFailure(ctx), true
		}
		r.h.Log.Info("stream broken off", "request", r.reqInfo.ID, "reason", "no replica of its software to resume it",
			"service", string(r.begunAt.Service), "software", string(r.begunAt.Version), "last_event", s.lastEvent)
		return s.abort(ctx), true
	}
	defer a.cancel(nil)
	standby := r.newStandby(ctx, a, s.stallTimeout())
	defer func() { r.settle(standby, !done) }()
	r.send(a)
	switch {
	case a.err != nil:
		return "", false
	case a.info.NotRun:
		a.discard()
		return "", false
	case a.response.Status != http.StatusOK:
		return s.handleNonStream(a)
	case s.hasLastEvent && !a.response.EventStream():
		r.h.Log.Info("response that resumes a stream is none", "request", r.reqInfo.ID, "replica", a.replica.Info().ID)
		a.discard()
		return "", false
	case !a.info.Signed:
		r.h.Log.Info("response has no signature of the replica", "request", r.reqInfo.ID, "replica", a.replica.Info().ID)
		a.discard()
		return "", false
	}
	s.resumed = s.hasLastEvent
	err := s.copy(a, standby)
	if err != nil {
		a.response.MarkBroken()
	}
	if errors.Is(err, errNotRecorded) {
		a.release()
		r.h.Log.Info("stream ended before its first event", "request", r.reqInfo.ID, "replica", a.replica.Info().ID, "software", string(a.software.Version), "error", err)
		return "", false
	}
	otherSoftware := errors.Is(err, errOtherSoftware)
	if !errors.Is(err, errCallerWrite) && !otherSoftware && context.Cause(a.ctx) == nil {
		a.run.RecordEnd(err, a.response.Framed)
	}
	a.release()
	switch {
	case err == nil:
		a.replica.RecordSuccess()
		return OutcomeServed, true
	case errors.Is(err, errCallerWrite) || r.in.Context().Err() != nil:
		return OutcomeCallerGone, true
	}
	if ctx.Err() == nil && !otherSoftware {
		a.replica.RecordFailure(time.Now())
	}
	r.h.Log.Info("stream interrupted", "request", r.reqInfo.ID, "replica", a.replica.Info().ID,
		"last_event", s.lastEvent, "software", string(a.software.Version), "error", err, "cause", context.Cause(a.ctx))
	return "", false
}

// nextAttempt is that of the request. A stream that has begun asks again for a replica
// after it was refused one, for as long as its caller waits for the next event and its
// version has replicas: a slot may be free a moment later.
func (s *streamRelay) nextAttempt(ctx context.Context) *attempt {
	r := s.r
	for {
		a := r.nextAttempt(ctx, s.lastEvent)
		if a != nil || !r.headerSent || !r.mayPlaceAgain(ctx) {
			return a
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(standbyRetryInterval):
		}
	}
}

// stallTimeout is the longest time without a complete event.
func (s *streamRelay) stallTimeout() time.Duration {
	return time.Duration(streamStallShare * float64(s.r.route.CallerIdleTimeout))
}

// handleNonStream handles a response without the status of a stream, 200. It
// passes an error response on if the caller has received nothing yet.
func (s *streamRelay) handleNonStream(a *attempt) (Outcome, bool) {
	r := s.r
	if r.headerSent || !a.info.Signed {
		a.discard()
		return "", false
	}
	response := r.readBuffered(a)
	if response == nil || response.status >= http.StatusInternalServerError && r.mayRetry() {
		return "", false
	}
	return r.deliver(response), true
}

// copy forwards events until the stream ends. It returns nil only for a complete
// stream.
func (s *streamRelay) copy(a *attempt, standby *standby) error {
	var splitter sse.Splitter
	begun := false // an event of this replica has come, or a byte of another body
	buf := make([]byte, streamBuffer)
	for {
		n, err := a.response.Read(buf)
		if n > 0 {
			progress, addErr := s.relayEvents(a, standby, &splitter, buf[:n])
			if !begun && (progress || !a.response.EventStream()) {
				begun = true
				a.replica.ObserveSuccess(a.sent)
			}
			if progress {
				s.r.stopWatch() // the run has begun without a crash
				a.run.RecordEvent(time.Now())
				a.response.RecordProgress()
				standby.recordProgress(s.r.lastProgress, s.r.begunAt, s.lastEvent)
				if s.unnumbered || s.softwareUnknown {
					standby.disable()
				}
			}
			if addErr != nil {
				return addErr
			}
		}
		if errors.Is(err, io.EOF) {
			return s.finish(a, begun, splitter.Pending())
		}
		if err != nil {
			return err
		}
	}
}

// relayEvents forwards the events that p completes, and reports whether any of them
// is more than a comment. Event IDs must increase by 1, also across attempts, and what
// resumes a stream must have them: an error that a replica sends instead has none.
func (s *streamRelay) relayEvents(a *attempt, standby *standby, splitter *sse.Splitter, p []byte) (progress bool, err error) {
	wrote := false
	err = splitter.Add(p, func(e sse.Event) error {
		switch {
		case e.Foreign && (s.hasLastEvent || a.response.EventStream()):
			return errForeignBytes
		case s.resumed && !e.HasID && !e.IsComment():
			return errEventOrder
		}
		if err := s.r.awaitRecord(a.ctx, a); err != nil {
			return err
		}
		if !standby.claim(e.IsComment()) {
			return errReplicaTimeout
		}
		if err := s.checkSoftware(a); err != nil {
			return err
		}
		progress = progress || !e.IsComment()
		if e.HasID {
			if s.hasLastEvent && e.ID != s.lastEvent+1 {
				return errEventOrder
			}
			s.lastEvent, s.hasLastEvent = e.ID, true
		} else if !e.IsComment() || !a.response.EventStream() {
			s.unnumbered = true
		}
		s.sendHeader(a)
		wrote = true
		if _, err := s.r.w.Write(e.Raw); err != nil {
			return errCallerWrite
		}
		return nil
	})
	if wrote {
		s.r.lastProgress = time.Now()
		if flushErr := s.out.Flush(); err == nil && flushErr != nil {
			err = errCallerWrite
		}
	}
	return progress, err
}

// checkSoftware returns an error if what comes from the replica may be of another version
// than the stream.
func (s *streamRelay) checkSoftware(a *attempt) error {
	switch {
	case !s.r.route.CanResume || s.softwareUnknown || !a.restarted():
		return nil
	case a.resumes || !s.r.headerSent:
		return errOtherSoftware
	}
	s.softwareUnknown = true
	if s.r.recording != nil {
		s.r.recording.Doubt()
	}
	s.r.h.Log.Info("version that began a stream is not known any more", "request", s.r.reqInfo.ID, "replica", a.replica.Info().ID,
		"software", string(a.software.Version), "registered", string(a.replica.Info().Version))
	return nil
}

// sendHeader sends the response header of the first replica that sent an event.
// Later calls do nothing.
func (s *streamRelay) sendHeader(a *attempt) {
	if s.r.headerSent {
		return
	}
	s.r.headerSent = true
	s.r.begunAt = &a.software
	s.r.firstByte = time.Since(s.r.arrived)
	s.r.h.Codec.CallerHeader(s.r.w.Header(), a.response.Header)
	s.r.w.WriteHeader(a.response.Status)
}

// finish ends the response after the replica ended its body. Trailing bytes that
// are no complete event are an error in a stream of events: the replica stopped in
// the middle of one. So is the end of a connection before the first event of this
// replica, whatever others have sent, if only that end shows where the body ends. A body
// of another type is forwarded as it is.
func (s *streamRelay) finish(a *attempt, begun bool, remainder []byte) error {
	if len(remainder) > 0 && (s.resumed || s.r.route.CanResume || a.response.EventStream()) {
		return errTruncatedEvent
	}
	if !begun && len(remainder) == 0 && s.r.mayLackBody(a) {
		return errNoEvent
	}
	s.sendHeader(a)
	if len(remainder) > 0 {
		if _, err := s.r.w.Write(remainder); err != nil {
			return errCallerWrite
		}
	}
	return nil
}

// abort closes the caller's connection in the middle of a response, so that the
// caller does not take the response for complete. It panics with
// http.ErrAbortHandler.
func (s *streamRelay) abort(ctx context.Context) Outcome {
	switch {
	case s.r.in.Context().Err() != nil:
		s.r.outcome = OutcomeCallerGone
	case ctx.Err() != nil:
		s.r.outcome = OutcomeTimeout
	}
	panic(http.ErrAbortHandler)
}
