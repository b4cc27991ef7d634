package callerconn

// cause is why a connection was closed.
type cause int32

const (
	causeUnknown cause = iota
	// causeCaller: the caller closed the connection, or cannot be reached.
	causeCaller
	// causeIdleTimeout: the connection was idle for longer than the operator's limit.
	causeIdleTimeout
	// causeHeaderTimeout: the head of a request took longer than the operator's limit.
	causeHeaderTimeout
	// causeStop: the node stops and has nothing to do on the connection.
	causeStop
	// causeGraceOver: the node stops, and its time for requests in progress is over.
	causeGraceOver
	// causeAborted: the handler aborted a response that it cannot complete.
	causeAborted
	// causeTooMany: too many connections are open, and this one waited for a request.
	causeTooMany
	// causePanic: the handler panicked.
	causePanic
)

// String returns the name of the cause in logs and metrics.
func (c cause) String() string {
	return [...]string{"unknown", "caller", "idle_timeout", "header_timeout", "stop", "grace_over", "aborted", "too_many", "panic"}[c]
}
