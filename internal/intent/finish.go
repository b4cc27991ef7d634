package intent

import (
	"context"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/infra"
)

// Finish stores the answer of a call that ran. It returns after one second at
// most, also when the caller is gone; if the answer is not stored by then, the
// store goes on trying in the background and returns an error, which does not
// concern the caller: until the answer is stored, a resend is refused as of
// unknown outcome.
func (s *Store) Finish(ctx context.Context, a *Attempt, answer Response) error {
	kept := &answer
	if !answer.fits() {
		kept = nil
	}
	return s.settle(ctx, a, a.record(StateDone, kept))
}

// Abandon records that the attempt did not run the call, so that a resend may.
// The caller must never send the attempt afterwards. It returns as Finish does.
func (s *Store) Abandon(ctx context.Context, a *Attempt) error {
	return s.settle(ctx, a, a.record(StateAbandoned, nil))
}

func (s *Store) settle(ctx context.Context, a *Attempt, r record) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	err := s.trySettle(ctx, a, r)
	if err != nil {
		s.settleLater(a, r)
	}
	return err
}

// abandonLater abandons an attempt whose first write has an unknown outcome.
// If the row is absent, the abandoned record also keeps that write from taking
// effect later.
func (s *Store) abandonLater(a *Attempt) { s.settleLater(a, a.record(StateAbandoned, nil)) }

func (s *Store) settleLater(a *Attempt, r record) {
	started := s.background.start(func(ctx context.Context) bool {
		return s.trySettle(ctx, a, r) == nil
	})
	if !started {
		s.cfg.Scope.Counter("background_full").Inc(1)
		s.cfg.Logger.Warn("intent left as sent: too many are waiting for the table service", "row", a.key, "attempt", a.id)
	}
}

// trySettle replaces the attempt's record once, reading back after conflicts.
// It succeeds also if the row belongs to another attempt.
func (s *Store) trySettle(ctx context.Context, a *Attempt, r record) error {
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
			return nil // no write of this attempt can take effect any more
		}
		a.version = version
		if !pause(ctx, retryPause) {
			return err
		}
	}
	return err
}
