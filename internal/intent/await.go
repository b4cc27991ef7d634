package intent

import (
	"context"
	"time"
)

// Bounds of the pause between two looks at the record of a running attempt.
// Most calls end within the first; the growth keeps a resend to a dozen reads.
const (
	awaitPauseMin = 50 * time.Millisecond
	awaitPauseMax = 400 * time.Millisecond
)

// awaitEnd waits until the record of another attempt is no longer that of a
// running one. It returns false if that did not happen in time.
func (s *Store) awaitEnd(ctx context.Context, key string, until time.Time) bool {
	for wait := awaitPauseMin; time.Now().Add(wait).Before(until) && pause(ctx, wait); wait = min(2*wait, awaitPauseMax) {
		found, version, err := s.read(ctx, &Attempt{key: key})
		if err == nil && (version == 0 || found.State != StateSent) {
			return true
		}
	}
	return false
}
