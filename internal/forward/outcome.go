package forward

// Outcome is the result of a request. It is a label of the request metrics.
type Outcome string

// The outcomes of requests.
const (
	// OutcomeServed is a complete, successful response of a replica.
	OutcomeServed Outcome = "served"
	// OutcomeFailed is an error response of a replica that was passed on to the
	// caller, or one that was replaced because its status would claim that the
	// request has not run.
	OutcomeFailed Outcome = "replica_failure"
	// OutcomeBroken is an interrupted response, or a request that may have run but
	// got no response.
	OutcomeBroken Outcome = "broken"
	// OutcomeRefused is a request that this node refused. It has not run.
	OutcomeRefused Outcome = "refused"
	// OutcomeTimeout is a request that exceeded its route's timeout or the caller's
	// deadline.
	OutcomeTimeout Outcome = "timeout"
	// OutcomeCallerGone is a request whose caller disconnected.
	OutcomeCallerGone Outcome = "caller_gone"
)
