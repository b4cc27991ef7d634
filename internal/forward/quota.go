package forward

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/routetable"
)

// Quota limits the requests of each organisation over all nodes.
type Quota interface {
	// Admit counts a request against the limit of its organisation, or refuses it.
	Admit(org *routetable.Organisation, now time.Time) QuotaDecision
	// Return takes back the count of a request that was admitted and that no replica has
	// run.
	Return(org *routetable.Organisation, decision QuotaDecision, now time.Time)
}

// QuotaDecision says whether a request is within the limit of its organisation.
type QuotaDecision struct {
	Admitted bool
	// AdmittedAt is when the request was counted.
	AdmittedAt time.Time
	// RetryAfter is the time after which a refused request will be admitted.
	RetryAfter time.Duration
	// Share is the rate that the owner may admit, and Use what it has admitted lately, in
	// requests a second, for the log.
	Share, Use float64
	// Owner is the node that has counted the use, and Age how long ago.
	Owner core.NodeID
	Age   time.Duration
}
