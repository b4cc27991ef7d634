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

// Guards against retrying a request that must not be sent again, and against
// failing one that may be sent again.
func TestNextAction(t *testing.T) {
	g := gomega.NewWithT(t)
	base := retryState{idempotent: true, mayHaveRun: true, delivered: 0, attempts: 1, maxAttempts: 3}
	with := func(s retryState, change func(*retryState)) retryState { change(&s); return s }
	for f, want := range map[failure]retryAction{
		failureNotSent: actionRetry, failureRefused: actionRetry, failureInterrupted: actionRetry,
		failureIncomplete: actionRetry, failureStalled: actionRetry, failurePreempted: actionReacquire,
		failureInvalid: actionStop, failureDeadline: actionStop, failureCallerGone: actionStop, failureTooLarge: actionStop,
	} {
		s := with(base, func(s *retryState) { s.failure = f })
		g.Expect(nextAction(s)).To(gomega.Equal(want), f.String())
		s.idempotent = false
		g.Expect(nextAction(s)).To(gomega.Equal(actionStop), "non-idempotent, may have run: "+f.String())
		s.mayHaveRun = false
		g.Expect(nextAction(s)).To(gomega.Equal(want), "non-idempotent, not run: "+f.String())
	}
	incomplete := with(base, func(s *retryState) { s.failure = failureIncomplete; s.delivered = 2 })
	g.Expect(nextAction(incomplete)).To(gomega.Equal(actionResume))
	g.Expect(nextAction(with(incomplete, func(s *retryState) { s.attempts = 3 }))).To(gomega.Equal(actionStop))
	g.Expect(nextAction(with(incomplete, func(s *retryState) { s.failure = failurePreempted; s.attempts = 9 }))).To(gomega.Equal(actionReacquire))
}

// Guards against hedging a request that must not run twice or that has delivered
// tokens.
func TestHedgeDelay(t *testing.T) {
	g := gomega.NewWithT(t)
	s := retryState{idempotent: true, attempts: 1, maxAttempts: 2}
	g.Expect(hedgeDelay(s, core.ClassOnline, time.Second)).To(gomega.Equal(time.Second))
	g.Expect(hedgeDelay(s, core.ClassBatch, time.Second)).To(gomega.BeZero())
	for _, refused := range []retryState{
		{attempts: 1, maxAttempts: 2},
		{idempotent: true, attempts: 2, maxAttempts: 2},
		{idempotent: true, attempts: 1, maxAttempts: 2, delivered: 1},
	} {
		g.Expect(hedgeDelay(refused, core.ClassOnline, time.Second)).To(gomega.BeZero())
	}
}

// Guards against a first-token timeout that is too short for a slow deployment, or
// that applies to a request that cannot be sent again.
func TestFirstTokenTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(firstTokenTimeout(false, core.ClassOnline, time.Second)).To(gomega.BeZero())
	g.Expect(firstTokenTimeout(true, core.ClassOnline, time.Second)).To(gomega.Equal(onlineFirstTokenTimeout))
	g.Expect(firstTokenTimeout(true, core.ClassOnline, time.Minute)).To(gomega.Equal(4 * time.Minute))
	g.Expect(firstTokenTimeout(true, core.ClassBatch, time.Second)).To(gomega.Equal(batchFirstTokenTimeout))
}

// Guards against accepting a truncated stream as complete.
func TestIsComplete(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(isComplete(backend.Finish{Reason: "stop", OutputTokens: 4}, 4)).To(gomega.BeTrue())
	g.Expect(isComplete(backend.Finish{Reason: "stop", OutputTokens: 5}, 4)).To(gomega.BeFalse())
	g.Expect(isComplete(backend.Finish{OutputTokens: 4}, 4)).To(gomega.BeFalse())
}

// Guards against a non-idempotent route that does not match because the path is
// written with a trailing slash or a query.
func TestNonIdempotentRoute(t *testing.T) {
	g := gomega.NewWithT(t)
	deployment := &settings.Deployment{NonIdempotentRoutes: []string{"POST /desk/issue", "PUT /desk/permits/"}}
	for path, want := range map[string]bool{
		"POST /desk/issue": true, "POST /desk/issue/": true, "POST /desk/issue?x=1": true,
		"PUT /desk/permits/7": true, "PUT /desk/permits": false, "GET /desk/issue": false, "POST /desk/issued": false,
	} {
		method, path, _ := strings.Cut(path, " ")
		g.Expect(NonIdempotentRoute(deployment, method, path)).To(gomega.Equal(want), method+" "+path)
	}
}
