package intent

import (
	"context"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/infra"
)

// Finish stores the response of a call that ran. It is not cancelled with ctx and
// returns after at most one second. If the response is not stored by then, Finish
// returns an error and retries in the background; until the response is stored, a
// resend is refused because the outcome is unknown. The error is no reason to fail
// the call, which ran.
func (s *Store) Finish(ctx context.Context, a *Attempt, response Response) error {
	stored := &response
	if !response.fits() {
		stored = nil
	}
	return s.writeFinal(ctx, a, a.record(StateDone, stored))
}

// Abandon records that the attempt did not send the call, so that a resend may run it.
// The attempt must never be sent afterwards. Time limit, background retries and error
// are as for Finish.
func (s *Store) Abandon(ctx context.Context, a *Attempt) error {
	return s.writeFinal(ctx, a, a.record(StateAbandoned, nil))
}

// writeFinal writes the final record of an attempt, and retries in the background if
// that fails within finishTimeout.
func (s *Store) writeFinal(ctx context.Context, a *Attempt, r record) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	err := s.tryWriteFinal(ctx, a, r)
	if err != nil {
		s.writeFinalInBackground(a, r)
	}
	return err
}

// abandonInBackground abandons an attempt whose first write has an unknown outcome.
// Even if the row is absent, the abandoned record is needed: it makes the condition of
// that write fail, so that the write cannot take effect later.
func (s *Store) abandonInBackground(a *Attempt) {
	s.writeFinalInBackground(a, a.record(StateAbandoned, nil))
}

// writeFinalInBackground retries writing the final record. If too many retries are
// already running, the record stays in StateSent.
func (s *Store) writeFinalInBackground(a *Attempt, r record) {
	started := s.retrier.start(func(ctx context.Context) bool {
		return s.tryWriteFinal(ctx, a, r) == nil
	})
	if !started {
		s.cfg.Scope.Counter("background_full").Inc(1)
		s.cfg.Logger.Warn("final state of the intent not recorded: too many background retries; resends get an unknown outcome", "row", a.key, "attempt", a.id)
	}
}

// tryWriteFinal replaces the attempt's record by r. After a conflict or a write of
// unknown outcome it reads the row back and tries again, up to maxTries times. It also
// succeeds if the row now belongs to another attempt.
func (s *Store) tryWriteFinal(ctx context.Context, a *Attempt, r record) error {
	var err error
	for range maxTries {
		err = s.write(ctx, a, r)
		if err == nil {
			return nil
		}
		if errors.Is(err, infra.ErrUnavailable) {
			return err
		}
		found, version, readErr := s.read(ctx, a)
		switch {
		case readErr != nil:
			return readErr
		case found.Attempt == a.id && found.State == r.State:
			return nil
		case found.Attempt != a.id && version != a.version && version != 0:
			return nil // no earlier write of this attempt can take effect any more
		}
		a.version = version
		if !sleep(ctx, retryDelay) {
			return err
		}
	}
	return err
}
