package forward

import "time"

// Call is what a caller says of its request besides method, path and body.
type Call struct {
	// ID names the request; replicas echo it.
	ID string
	// Patience is how long the caller waits, counted from its sending; 0 if it
	// does not say.
	Patience time.Duration
}
