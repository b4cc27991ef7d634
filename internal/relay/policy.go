package relay

import (
	"time"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/core"
)

// verdict says what happens after a failed attempt.
type verdict uint8

const (
	verdictStop      verdict = iota // the work fails
	verdictRetry                    // send again from the start
	verdictResume                   // send again from the delivered count
	verdictReacquire                // wait for another slot; costs no retry
)

// situation is what decide looks at.
type situation struct {
	failure     failure
	idempotent  bool
	mayHaveRun  bool
	delivered   int
	attempts    int
	maxAttempts int
}

// decide says what happens after a failed attempt, the budget aside.
func decide(s situation) verdict {
	if !s.idempotent && s.mayHaveRun {
		return verdictStop
	}
	switch s.failure {
	case failurePreempted:
		return verdictReacquire
	case failureNotSent, failureRefused, failureInterrupted, failureFailed, failureBroken, failureStalled:
	default:
		return verdictStop
	}
	if s.attempts >= max(1, s.maxAttempts) {
		return verdictStop
	}
	if s.delivered > 0 {
		return verdictResume
	}
	return verdictRetry
}

// hedgeDelay returns the time after which work that waits for its first token
// is sent a second time, or 0 if it is not hedged.
func hedgeDelay(s situation, class core.Class, hedgeAfter time.Duration) time.Duration {
	if class != core.ClassOnline || !s.idempotent || s.delivered > 0 || s.attempts >= s.maxAttempts {
		return 0
	}
	return max(0, hedgeAfter)
}

// Bounds on silence of a backend server. A lost VM does not close its
// connections, so without a bound its work would hang until the deadline.
// Brief slowdowns reach 20 times the usual 66 ms between tokens, which the
// bounds must tolerate.
const (
	stallBetweenTokens = 5 * time.Second
	stallFirstOnline   = 10 * time.Second
	stallFirstBatch    = 60 * time.Second
)

// stallTargets is how many times the first-token target an attempt may take
// where that is more than the bounds above.
const stallTargets = 4

// firstStall returns how long an attempt of a generation may take until its
// first token, or 0 for no bound: non-idempotent work cannot be sent again, so
// it waits.
func firstStall(idempotent bool, class core.Class, target time.Duration) time.Duration {
	switch {
	case !idempotent:
		return 0
	case class == core.ClassBatch:
		return max(stallFirstBatch, stallTargets*target)
	default:
		return max(stallFirstOnline, stallTargets*target)
	}
}

// tokenVerdict says what to do with a received token.
type tokenVerdict uint8

const (
	tokenNew tokenVerdict = iota
	tokenRepeated
	tokenGap
)

// acceptToken compares a token's index with the number of delivered tokens.
func acceptToken(delivered, index int) tokenVerdict {
	switch {
	case index == delivered:
		return tokenNew
	case index < delivered:
		return tokenRepeated
	default:
		return tokenGap
	}
}

// complete reports whether a stream that ended regularly ended whole: the
// engine names a reason and counts no more tokens than were delivered.
func complete(finish backend.Finish, delivered int) bool {
	return finish.Reason != "" && finish.OutputTokens <= delivered
}

// idempotentMethod reports whether a plain call with this method and without
// a mark may be sent again after it may have run.
func idempotentMethod(method string) bool {
	return method == "GET" || method == "HEAD" || method == "OPTIONS"
}
