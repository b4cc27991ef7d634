package intent

import (
	"context"
	"time"
)

// Limits of the exponential delay between two reads of the record of a running
// attempt. Most calls end within the first delay, and the growth limits a resend to
// about a dozen reads.
const (
	awaitDelayMin = 50 * time.Millisecond
	awaitDelayMax = 400 * time.Millisecond
)

// awaitCompletion polls the row with a key until its record is done, abandoned or
// absent. It returns false if the deadline passes or ctx is done first.
func (s *Store) awaitCompletion(ctx context.Context, key string, deadline time.Time) bool {
	for delay := awaitDelayMin; time.Now().Add(delay).Before(deadline) && sleep(ctx, delay); delay = min(2*delay, awaitDelayMax) {
		found, version, err := s.read(ctx, &Attempt{key: key})
		if err == nil && (version == 0 || found.State != StateSent) {
			return true
		}
	}
	return false
}
