package routetable

import "gentiantide.example/gentiantide/internal/core"

// Organisation is a customer of the operator. Its callers share its limits and its
// turns. It is immutable.
type Organisation struct {
	Name core.Org
	// Keys is the number of keys that its callers may use.
	Keys int
	// Priority, if set, takes the place of that of the routes. 0 is the highest.
	Priority *int
	// RequestsPerSecond and Burst limit the requests of all its callers at all nodes. A
	// rate of 0 means no limit.
	RequestsPerSecond float64
	Burst             float64
}

// Limited reports whether the requests of the organisation are limited.
func (o *Organisation) Limited() bool { return o.RequestsPerSecond > 0 }
