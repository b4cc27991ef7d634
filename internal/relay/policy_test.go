package relay

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/settings"
)

// Guards against sending work again that must not be, and against giving up
// work that may be sent again.
func TestDecide(t *testing.T) {
	g := gomega.NewWithT(t)
	idem := situation{idempotent: true, mayHaveRun: true, delivered: 0, attempts: 1, maxAttempts: 3}
	with := func(s situation, change func(*situation)) situation { change(&s); return s }
	for f, want := range map[failure]verdict{
		failureNotSent: verdictRetry, failureRefused: verdictRetry, failureInterrupted: verdictRetry,
		failureBroken: verdictRetry, failureStalled: verdictRetry, failurePreempted: verdictReacquire,
		failureInvalid: verdictStop, failureDeadline: verdictStop, failureCallerGone: verdictStop, failureTooLarge: verdictStop,
	} {
		s := with(idem, func(s *situation) { s.failure = f })
		g.Expect(decide(s)).To(gomega.Equal(want), f.String())
		s.idempotent = false
		g.Expect(decide(s)).To(gomega.Equal(verdictStop), "non-idempotent, may have run: "+f.String())
		s.mayHaveRun = false
		g.Expect(decide(s)).To(gomega.Equal(want), "non-idempotent, not run: "+f.String())
	}
	broken := with(idem, func(s *situation) { s.failure = failureBroken; s.delivered = 2 })
	g.Expect(decide(broken)).To(gomega.Equal(verdictResume))
	g.Expect(decide(with(broken, func(s *situation) { s.attempts = 3 }))).To(gomega.Equal(verdictStop))
	g.Expect(decide(with(broken, func(s *situation) { s.failure = failurePreempted; s.attempts = 9 }))).To(gomega.Equal(verdictReacquire))
}

// Guards against hedging work that would run twice or that has begun.
func TestHedgeDelay(t *testing.T) {
	g := gomega.NewWithT(t)
	s := situation{idempotent: true, attempts: 1, maxAttempts: 2}
	g.Expect(hedgeDelay(s, core.ClassOnline, time.Second)).To(gomega.Equal(time.Second))
	g.Expect(hedgeDelay(s, core.ClassBatch, time.Second)).To(gomega.BeZero())
	for _, refused := range []situation{
		{attempts: 1, maxAttempts: 2},
		{idempotent: true, attempts: 2, maxAttempts: 2},
		{idempotent: true, attempts: 1, maxAttempts: 2, delivered: 1},
	} {
		g.Expect(hedgeDelay(refused, core.ClassOnline, time.Second)).To(gomega.BeZero())
	}
}

// Guards against a bound on silence that a slow deployment or a call that
// cannot be sent again would run into.
func TestFirstStall(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(firstStall(false, core.ClassOnline, time.Second)).To(gomega.BeZero())
	g.Expect(firstStall(true, core.ClassOnline, time.Second)).To(gomega.Equal(stallFirstOnline))
	g.Expect(firstStall(true, core.ClassOnline, time.Minute)).To(gomega.Equal(4 * time.Minute))
	g.Expect(firstStall(true, core.ClassBatch, time.Second)).To(gomega.Equal(stallFirstBatch))
}

// Guards against taking a truncated stream for a whole one.
func TestComplete(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(complete(backend.Finish{Reason: "stop", OutputTokens: 4}, 4)).To(gomega.BeTrue())
	g.Expect(complete(backend.Finish{Reason: "stop", OutputTokens: 5}, 4)).To(gomega.BeFalse())
	g.Expect(complete(backend.Finish{OutputTokens: 4}, 4)).To(gomega.BeFalse())
}

// Guards against a marked route that a variant spelling of its path escapes.
func TestNonIdempotentRoute(t *testing.T) {
	g := gomega.NewWithT(t)
	service := &settings.Deployment{NonIdempotentRoutes: []string{"POST /desk/issue", "PUT /desk/permits/"}}
	for path, want := range map[string]bool{
		"POST /desk/issue": true, "POST /desk/issue/": true, "POST /desk/issue?x=1": true,
		"PUT /desk/permits/7": true, "PUT /desk/permits": false, "GET /desk/issue": false, "POST /desk/issued": false,
	} {
		method, path, _ := strings.Cut(path, " ")
		g.Expect(NonIdempotentRoute(service, method, path)).To(gomega.Equal(want), method+" "+path)
	}
}
