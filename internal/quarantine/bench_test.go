package quarantine

import (
	"context"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

// BenchmarkRequest measures what the quarantine adds to a request with two shared
// parts, with an empty and with a full list.
func BenchmarkRequest(b *testing.B) {
	for name, entries := range map[string]int{"empty": 0, "full": maxEntries} {
		b.Run(name, func(b *testing.B) {
			s := &Service{list: newList("a"), proofs: newProofs(), counters: newCounters(tally.NoopScope)}
			now := time.Now()
			for i := range entries {
				s.list.merge(Entry{Part: own(i), Round: 1, Until: now.Add(time.Hour)}, now)
			}
			parts := []Part{"first", "second"}
			target := crashedReplica()
			_, cancel := context.WithCancelCause(b.Context())
			defer cancel(nil)
			b.ReportAllocs()
			for b.Loop() {
				if _, blocked := s.Blocked(parts); blocked {
					b.Fatal("blocked")
				}
				stop := s.Watch(parts, cancel)
				run, ok := s.Begin(parts, target)
				if !ok {
					b.Fatal("not admitted")
				}
				run.RecordEvent(now)
				run.RecordEnd(nil, true)
				run.End()
				stop()
			}
		})
	}
}
