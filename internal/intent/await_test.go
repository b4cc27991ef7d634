package intent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/infra/infratest"
)

// Guards against a resend that is told "unknown" although the running attempt
// answers a moment later, and against one that waits for ever for an attempt
// whose node has died.
func TestResendWaitsForTheRunningAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		next := 0
		s := New(Config{Table: infratest.NewTable(), AwaitTimeout: time.Second,
			NewID: func() string { next++; return string(rune('a' + next)) }})
		defer s.Close()
		first, _ := s.Begin(t.Context(), "org", "k", DigestOf([]byte("k")))
		g.Expect(first.Outcome).To(gomega.Equal(Started))
		go func() {
			time.Sleep(300 * time.Millisecond)
			g.Expect(s.Finish(context.Background(), first.Attempt, Response{Status: 200})).To(gomega.Succeed())
		}()
		second, refusal := s.Begin(t.Context(), "org", "k", DigestOf([]byte("k")))
		g.Expect(refusal).To(gomega.BeNil())
		g.Expect(second.Outcome).To(gomega.Equal(Replay))

		_, _ = s.Begin(t.Context(), "org", "dead", DigestOf([]byte("dead")))
		third, refusal := s.Begin(t.Context(), "org", "dead", DigestOf([]byte("dead")))
		g.Expect(refusal).To(gomega.BeNil())
		g.Expect(third.Outcome).To(gomega.Equal(InProgressOrUnknown))
	})
}
