package forward

import "time"

// Call holds what the headers of a caller's request say.
type Call struct {
	// ID is the request ID. Replicas return it in their responses.
	ID string
	// Patience is how long the caller waits for the response, counted from when it
	// sent the request. 0 means that the caller set no deadline.
	Patience time.Duration
}
