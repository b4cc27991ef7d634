package route

import "time"

// Observation is the outcome of one request at a replica.
type Observation struct {
	// Failed is set if the replica failed.
	Failed bool
	// Cancelled is set if the holder ended the request early.
	Cancelled  bool
	FirstToken time.Duration // 0: none came
	Total      time.Duration
	Tokens     int
	// Probe is set for a test request to an ejected replica.
	Probe bool
	// Partial is set for a first token that is reported while the request goes
	// on, Reported for the end of a request whose first token was.
	Partial  bool
	Reported bool
	// EjectRatio and EjectDuration come from the deployment's settings; a
	// ratio of 0 turns off ejection by speed.
	EjectRatio    float64
	EjectDuration time.Duration
	Now           time.Time
}

// PerToken returns the total time per token, or 0 if it says nothing: a
// cancelled request without tokens.
func (o Observation) PerToken() time.Duration {
	if o.Failed || o.Total <= 0 || (o.Cancelled && o.Tokens == 0) {
		return 0
	}
	return o.Total / time.Duration(max(1, o.Tokens))
}
