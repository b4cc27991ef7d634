package quarantine

import (
	"context"
	"io"
	"slices"
	"sync"
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
	// started tells the process of the replica apart, as in its registration.
	started int64
	sent    time.Time
	// trial are the parts of which the run is the trial.
	trial []Part
	// failing is set if the last runs at the replica had failed before this one: what
	// makes it fail is not this request.
	failing bool
	began   time.Time // of the response, with its first event
	proved  bool

	// silence looks after the run while the replica is silent, also after its end.
	silence *time.Timer
	mu      sync.Mutex
	// settled is set once the silence of the replica says nothing about the run, and
	// watched while a silenceWatch has it. ended is the end of the run.
	settled, watched bool
	ended            time.Time
	// released is set once another run may be the trial, or another goroutine sees to it.
	released bool
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
	run = &Run{
		service: s, parts: parts, replica: target, started: target.Info().Started, sent: now, trial: trial, failing: target.OnProbation(now),
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	run.silence = time.AfterFunc(silenceTime, run.lookAfter)
	return run, true
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
	case err == nil:
		r.settle()
	}
}

// RecordNotRun records that the run cannot have crashed the replica: the request was not
// sent, or not run.
func (r *Run) RecordNotRun() {
	if r != nil {
		r.settle()
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

// End ends the observation. The request is no trial any more, unless its replica is
// being watched.
func (r *Run) End() {
	if r == nil {
		return
	}
	r.mu.Lock()
	r.ended = time.Now()
	watched := r.watched
	r.mu.Unlock()
	if !watched {
		r.releaseTrial()
	}
}

// takeTrial returns the parts of which the run is the trial, unless they are released or
// taken. The caller must release them.
func (r *Run) takeTrial() []Part {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released {
		return nil
	}
	r.released = true
	return r.trial
}

func (r *Run) releaseTrial() {
	if trial := r.takeTrial(); len(trial) > 0 {
		r.service.list.release(trial)
	}
}

func (r *Run) prove() {
	r.proved = true
	r.settle()
	r.service.proofs.add(r.parts, r.began)
	for _, part := range r.trial {
		r.service.lift(part, "the trial proved harmless")
	}
}

// suspect reports the run if its replica refuses connections.
func (r *Run) suspect() {
	r.settle()
	if !r.mayHaveCrashed() {
		return
	}
	r.reportIf(func(*report) bool {
		ctx, cancel := context.WithTimeout(context.Background(), verifyTimeout)
		defer cancel()
		return r.replica.Connect(ctx) == replica.Refused
	})
}

// reportIf reports the run, in a goroutine of its own, if a function finds that its replica
// has crashed, and ends its trial.
func (r *Run) reportIf(crashed func(*report) bool) {
	r.service.reporting.Add(1)
	trial := r.takeTrial()
	go func() {
		defer contain.Recover(r.service.Log, "suspect of a crash", string(r.replica.Info().ID))
		defer r.service.list.release(trial)
		if r.service.reportCrash(r.report, crashed) && len(trial) > 0 {
			time.Sleep(trialSettleTime)
		}
	}()
}

// mayHaveCrashed reports whether a crash of the replica may be the fault of the run.
// Replicas that were leaving were expected to end, and those that had failed before may
// fail again. A trial counts all the same.
func (r *Run) mayHaveCrashed() bool {
	return !r.replica.Leaving() && (!r.failing || len(r.trial) > 0)
}

// report returns the report of the run as one that may have crashed its replica.
func (r *Run) report() *report {
	info := r.replica.Info()
	out := &report{Service: info.Service, Replica: info.ID, Started: r.started, Parts: slices.Clone(r.parts)}
	for _, part := range r.trial {
		if e, ok := r.service.list.get(part); ok {
			out.Trials = append(out.Trials, newNotice(&e, time.Now()))
		}
	}
	return out
}

// reportCrash sends a report if a function finds that the replica has crashed.
func (s *Service) reportCrash(newReport func() *report, crashed func(*report) bool) bool {
	defer s.reporting.Add(-1)
	suspect := newReport()
	if !crashed(suspect) {
		return false
	}
	s.sendReport(suspect)
	return true
}

// ReplicaDark reports whether the replica seems to have gone dark at the run, and not its
// whole data centre. It is less sure than a report: no other node has been asked.
func (r *Run) ReplicaDark() bool {
	return r != nil && r.service.silences.dark(silenceKey{r.replica, r.started}) && r.service.Registry.HasReachable(r.replica)
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
