package intent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
)

// Begin records the intent to send a call, or returns why the call must not be sent.
// After a refusal, whose execution is core.NotRun, the call is never sent. While
// another attempt of the same call runs, Begin waits for its response for up to
// Config.AwaitTimeout.
func (s *Store) Begin(ctx context.Context, org core.Org, key string, digest Digest) (Decision, *core.Refusal) {
	deadline := time.Now().Add(s.cfg.AwaitTimeout)
	for {
		decision, refusal := s.beginOnce(ctx, org, key, digest)
		if refusal != nil || decision.Outcome != InProgressOrUnknown || !s.awaitCompletion(ctx, rowKey(org, key), deadline) {
			return decision, refusal
		}
	}
}

// beginOnce is Begin without waiting for another attempt.
func (s *Store) beginOnce(ctx context.Context, org core.Org, key string, digest Digest) (Decision, *core.Refusal) {
	beginCtx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	a := &Attempt{key: rowKey(org, key), id: s.cfg.NewID(), digest: digest, startedAt: time.Now()}
	decision, uncertain, err := s.startAttempt(beginCtx, a)
	if err == nil {
		s.countOutcome(decision.Outcome)
		return decision, nil
	}
	s.cfg.Scope.Counter("begin_failed").Inc(1)
	if uncertain {
		s.abandonInBackground(a)
	}
	if ctx.Err() != nil {
		return Decision{}, core.Refuse(core.CodeCancelled, "cancelled while recording the intent")
	}
	refusal := core.Refuse(core.CodeStoreUnavailable, "the intent of the call could not be recorded: "+err.Error())
	refusal.RetryAfter = time.Second
	return Decision{}, refusal
}

// startAttempt writes the first record of an attempt. After a conflict or a write of
// unknown outcome it reads the row back and decides by the record that it finds. With
// an error, uncertain reports whether a write may have taken effect or may still do so.
func (s *Store) startAttempt(ctx context.Context, a *Attempt) (_ Decision, uncertain bool, err error) {
	for range maxTries {
		err = s.write(ctx, a, a.record(StateSent, nil))
		switch {
		case err == nil:
			return Decision{Outcome: Started, Attempt: a}, false, nil
		case errors.Is(err, infra.ErrUnavailable) && !uncertain:
			return Decision{}, false, err
		case !errors.Is(err, infra.ErrConflict) && !errors.Is(err, infra.ErrUnavailable):
			uncertain = true
		}
		found, version, readErr := s.read(ctx, a)
		switch {
		case readErr != nil:
			err = readErr
		case version == 0:
			a.version = 0
		case found.Attempt == a.id:
			a.version = version
			return Decision{Outcome: Started, Attempt: a}, false, nil
		default:
			decision := decide(found, a.digest)
			if decision.Outcome != Started {
				return decision, false, nil
			}
			a.version = version
		}
		if ctx.Err() != nil || !sleep(ctx, retryDelay) {
			return Decision{}, uncertain, err
		}
	}
	return Decision{}, uncertain, err
}

// countOutcome increments the metric of an outcome.
func (s *Store) countOutcome(outcome Outcome) {
	name := [...]string{"", "started", "replayed", "outcome_unknown", "answer_not_kept", "key_reused"}[outcome]
	s.cfg.Scope.Counter(name).Inc(1)
}

// sleep waits for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
