package relay

import (
	"time"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/core"
)

// retryAction is what the executor does after a failed attempt.
type retryAction uint8

const (
	actionStop      retryAction = iota // the request fails
	actionRetry                        // send again from the beginning
	actionResume                       // send again, starting after the delivered tokens
	actionReacquire                    // wait for another slot; not charged to the retry budget
)

// retryState is the input of nextAction.
type retryState struct {
	failure     failure
	idempotent  bool
	mayHaveRun  bool
	delivered   int
	attempts    int
	maxAttempts int
}

// nextAction returns what to do after a failed attempt. It does not consider the
// retry budget.
func nextAction(s retryState) retryAction {
	if !s.idempotent && s.mayHaveRun {
		return actionStop
	}
	switch s.failure {
	case failurePreempted:
		return actionReacquire
	case failureNotSent, failureRefused, failureInterrupted, failureRequestFailed, failureIncomplete, failureStalled:
	default:
		return actionStop
	}
	if s.attempts >= max(1, s.maxAttempts) {
		return actionStop
	}
	if s.delivered > 0 {
		return actionResume
	}
	return actionRetry
}

// hedgeDelay returns how long to wait for the first token before a hedge is sent,
// or 0 if the request must not be hedged.
func hedgeDelay(s retryState, class core.Class, hedgeAfter time.Duration) time.Duration {
	if class != core.ClassOnline || !s.idempotent || s.delivered > 0 || s.attempts >= s.maxAttempts {
		return 0
	}
	return max(0, hedgeAfter)
}

// Limits on the time without a token. A lost VM does not close its connections, so
// without a limit its requests would hang until their deadline. The limits must
// tolerate brief slowdowns, which reach 20 times the usual 66 ms between tokens.
const (
	interTokenTimeout       = 5 * time.Second
	onlineFirstTokenTimeout = 10 * time.Second
	batchFirstTokenTimeout  = 60 * time.Second
)

// firstTokenTimeoutFactor is the multiple of the first-token target that an attempt
// may take if that is longer than the limits above.
const firstTokenTimeoutFactor = 4

// firstTokenTimeout returns how long an attempt of a generation may wait for its
// first token, or 0 for no limit. There is no limit for non-idempotent requests,
// because they could not be sent again.
func firstTokenTimeout(idempotent bool, class core.Class, target time.Duration) time.Duration {
	switch {
	case !idempotent:
		return 0
	case class == core.ClassBatch:
		return max(batchFirstTokenTimeout, firstTokenTimeoutFactor*target)
	default:
		return max(onlineFirstTokenTimeout, firstTokenTimeoutFactor*target)
	}
}

// tokenStatus tells whether a received token is the next one to deliver.
type tokenStatus uint8

const (
	tokenNew tokenStatus = iota
	tokenRepeated
	tokenGap
)

// checkToken compares a token's index with the number of delivered tokens.
func checkToken(delivered, index int) tokenStatus {
	switch {
	case index == delivered:
		return tokenNew
	case index < delivered:
		return tokenRepeated
	default:
		return tokenGap
	}
}

// isComplete reports whether a stream that ended without an error is complete: the
// engine gave a finish reason and counted no more tokens than were delivered.
func isComplete(finish backend.Finish, delivered int) bool {
	return finish.Reason != "" && finish.OutputTokens <= delivered
}

// idempotentMethod reports whether a plain call with this method may be sent again
// after it may have run, unless it is marked as non-idempotent.
func idempotentMethod(method string) bool {
	return method == "GET" || method == "HEAD" || method == "OPTIONS"
}
