package quarantine

import (
	"context"
	"io"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/replica"
)

const (
	// proofDelay is how long after its first event a run must go on to prove its
	// parts harmless. A request that crashes a replica does so when the replica
	// begins to write its response.
	proofDelay = 100 * time.Millisecond
	// verifyTimeout bounds the connection that shows whether a replica has crashed.
	verifyTimeout = 200 * time.Millisecond
	// trialSettleTime is how long after a crash in a trial no other trial begins here.
	// The renewed quarantine arrives within that time.
	trialSettleTime = 2 * time.Second
	// stopPollInterval is the time between two looks at the reports that a stop waits for.
	stopPollInterval = 5 * time.Millisecond
)

// Run observes one run of a request or an item at a replica. A nil Run observes
// nothing.
type Run struct {
	service *Service
	parts   []Part
	replica *replica.Replica
	trial   []Part
	// failing is set if the last runs at the replica had failed before this one: what
	// makes it fail is not this request.
	failing bool
	began   time.Time // of the response, with its first event
	proved  bool
}

// Begin starts to observe a run. It reports false if the request must not be sent
// because one of its parts is quarantined. The caller must call End.
func (s *Service) Begin(parts []Part, target *replica.Replica) (run *Run, ok bool) {
	if len(parts) == 0 {
		return nil, true
	}
	now := time.Now()
	trial, ok := s.list.admit(parts, now)
	if !ok {
		return nil, false
	}
	if len(trial) > 0 {
		s.Log.Info("trial of quarantined parts", "parts", trial, "replica", target.Info().ID)
	}
	return &Run{service: s, parts: parts, replica: target, trial: trial, failing: target.OnProbation(now)}, true
}

// RecordEvent records that an event of the response has arrived.
func (r *Run) RecordEvent(now time.Time) {
	switch {
	case r == nil || r.proved:
	case r.began.IsZero():
		r.began = now
	case now.Sub(r.began) >= proofDelay:
		r.prove()
	}
}

// RecordEnd records the end of the response: err is nil if it is complete. framed
// says whether its length or chunks show that. Without them a response that has just
// begun may have been ended by a crash.
func (r *Run) RecordEnd(err error, framed bool) {
	switch {
	case r == nil || r.proved:
	case err == nil && framed && !r.began.IsZero():
		r.prove()
	case err == nil && !framed || ConnectionBroken(err):
		r.suspect()
	}
}

// RecordWhole records the end of a response that is no stream, to a request sent at a
// time. failed says whether the replica answered with a failure: it may not have begun
// to run the request, so that the response proves nothing.
func (r *Run) RecordWhole(sent time.Time, failed bool, err error, framed bool) {
	if !failed {
		r.RecordEvent(sent)
	}
	r.RecordEnd(err, framed)
}

// End ends the observation. The request is no trial any more.
func (r *Run) End() {
	if r != nil && len(r.trial) > 0 {
		r.service.list.release(r.trial)
		r.trial = nil
	}
}

func (r *Run) prove() {
	r.proved = true
	r.service.proofs.add(r.parts, r.began)
	for _, part := range r.trial {
		r.service.lift(part, "the trial proved harmless")
	}
}

// suspect reports the run if its replica has crashed. Replicas that were leaving
// were expected to end, and those that had failed before may fail again. A trial is
// reported all the same.
func (r *Run) suspect() {
	if r.replica.Leaving() || r.failing && len(r.trial) == 0 {
		return
	}
	info := r.replica.Info()
	suspect := report{Service: info.Service, Replica: info.ID, Started: info.Started, Parts: slices.Clone(r.parts)}
	for _, part := range r.trial {
		if e, ok := r.service.list.get(part); ok {
			suspect.Trials = append(suspect.Trials, newNotice(&e, time.Now()))
		}
	}
	r.service.reporting.Add(1)
	go r.service.verify(r.replica, &suspect, r.trial)
	r.trial = nil
}

// verify reports the suspect if the replica refuses connections, and ends its trial.
func (s *Service) verify(target *replica.Replica, suspect *report, trial []Part) {
	defer contain.Recover(s.Log, "suspect of a crash", string(suspect.Replica))
	defer s.list.release(trial)
	if s.reportCrash(target, suspect) && len(trial) > 0 {
		time.Sleep(trialSettleTime)
	}
}

// reportCrash reports the suspect if the replica refuses connections.
func (s *Service) reportCrash(target *replica.Replica, suspect *report) bool {
	defer s.reporting.Add(-1)
	ctx, cancel := context.WithTimeout(context.Background(), verifyTimeout)
	defer cancel()
	if !target.RefusesConnections(ctx) {
		return false
	}
	s.sendReport(suspect)
	return true
}

// Stop waits until the crashes that this node has seen are reported, or ctx ends.
func (s *Service) Stop(ctx context.Context) {
	for s.reporting.Load() > 0 {
		select {
		case <-ctx.Done():
			s.Log.Warn("stopping before all crashes are reported")
			return
		case <-time.After(stopPollInterval):
		}
	}
}

// ConnectionBroken reports whether an exchange ended because the other side closed
// or reset the connection, as a crash does.
func ConnectionBroken(err error) bool {
	for _, broken := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, broken) {
			return true
		}
	}
	return false
}
