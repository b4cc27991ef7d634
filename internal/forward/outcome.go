package forward

// Outcome is how a request ended.
type Outcome string

// The outcomes of requests.
const (
	// OutcomeServed is a complete answer of a replica with success.
	OutcomeServed Outcome = "served"
	// OutcomeFailed is a replica's own failure, passed on.
	OutcomeFailed Outcome = "replica_failure"
	// OutcomeBroken is an answer that broke off, or a run without an answer.
	OutcomeBroken Outcome = "broken"
	// OutcomeRefused is a refusal: the request has not run.
	OutcomeRefused Outcome = "refused"
	// OutcomeTimeout is a request that reached its route's timeout or deadline.
	OutcomeTimeout Outcome = "timeout"
	// OutcomeGone is a caller that left.
	OutcomeGone Outcome = "caller_gone"
)
