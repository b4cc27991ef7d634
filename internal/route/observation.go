package route

import "time"

// Observation is the outcome of a request to a replica, or an intermediate
// report of it.
type Observation struct {
	// Failed is set if the replica failed to serve the request.
	Failed bool
	// Cancelled is set if the holder ended the request early.
	Cancelled  bool
	FirstToken time.Duration // 0: none arrived
	Total      time.Duration
	Tokens     int
	// Probe is set if the request was a probe of an ejected replica.
	Probe bool
	// InProgress is set for a report of the first token while the request is
	// running. FirstTokenReported is set at the end of a request for which
	// such a report was made.
	InProgress         bool
	FirstTokenReported bool
	// EjectRatio and EjectDuration are from the deployment's settings. A ratio
	// of 0 disables ejection by latency.
	EjectRatio    float64
	EjectDuration time.Duration
	Now           time.Time
}

// PerToken returns the total time per token. It is 0 if the request failed, has
// no total time, or was cancelled without tokens.
func (o Observation) PerToken() time.Duration {
	if o.Failed || o.Total <= 0 || (o.Cancelled && o.Tokens == 0) {
		return 0
	}
	return o.Total / time.Duration(max(1, o.Tokens))
}
