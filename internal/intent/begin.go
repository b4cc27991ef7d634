package intent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
)

// Begin records the intent to send a call, or says why it must not be sent.
// A refusal is true to its NotRun: the call is not sent. While another attempt
// of the same call runs, Begin waits for its answer as long as the
// configuration allows.
func (s *Store) Begin(ctx context.Context, org core.Org, key string, digest Digest) (Decision, *core.Refusal) {
	until := time.Now().Add(s.cfg.AwaitTimeout)
	for {
		decision, refusal := s.beginOnce(ctx, org, key, digest)
		if refusal != nil || decision.Outcome != InProgressOrUnknown || !s.awaitEnd(ctx, rowKey(org, key), until) {
			return decision, refusal
		}
	}
}

func (s *Store) beginOnce(ctx context.Context, org core.Org, key string, digest Digest) (Decision, *core.Refusal) {
	bounded, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	a := &Attempt{key: rowKey(org, key), id: s.cfg.NewID(), digest: digest, began: time.Now()}
	decision, doubt, err := s.begin(bounded, a)
	if err == nil {
		s.count(decision.Outcome)
		return decision, nil
	}
	s.cfg.Scope.Counter("begin_failed").Inc(1)
	if doubt {
		s.abandonLater(a)
	}
	if ctx.Err() != nil {
		return Decision{}, core.Refuse(core.CodeCancelled, "cancelled while recording the intent")
	}
	refusal := core.Refuse(core.CodeStoreUnavailable, "the intent of the call could not be recorded: "+err.Error())
	refusal.RetryAfter = time.Second
	return Decision{}, refusal
}

// begin writes the record, reading back after conflicts and lost answers.
// With an error, doubt says that a write may have taken effect or still may.
func (s *Store) begin(ctx context.Context, a *Attempt) (_ Decision, doubt bool, err error) {
	for range maxTries {
		err = s.write(ctx, a, a.record(StateSent, nil))
		switch {
		case err == nil:
			return Decision{Outcome: Started, Attempt: a}, false, nil
		case errors.Is(err, infra.ErrUnavailable) && !doubt:
			return Decision{}, false, err
		case !errors.Is(err, infra.ErrConflict) && !errors.Is(err, infra.ErrUnavailable):
			doubt = true
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
		if ctx.Err() != nil || !pause(ctx, retryPause) {
			return Decision{}, doubt, err
		}
	}
	return Decision{}, doubt, err
}

func (s *Store) count(outcome Outcome) {
	name := [...]string{"", "started", "replayed", "outcome_unknown", "answer_not_kept", "key_reused"}[outcome]
	s.cfg.Scope.Counter(name).Inc(1)
}

// pause waits and reports whether the context still lasts.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
