package routes

import (
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Route says how the requests of one host and path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix   string
	Kind     Kind
	Backends []Backend
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Objective is the time in which an answer should begin.
	Objective time.Duration
	// Patience is how long callers wait for the first event of a stream; 0 means
	// as long as the timeout allows.
	Patience time.Duration
	// MaxAttempts bounds the replicas that run one request.
	MaxAttempts int
	// CanResume is set if a stream may go on at another replica.
	CanResume bool
	// Due is the time after submission in which all results of a job are due.
	Due time.Duration
	// GiveUp is the time after submission from which items may be abandoned.
	GiveUp time.Duration
	// MaxQueuedTokens bounds the tokens of unfinished items over all nodes; 0
	// means no bound.
	MaxQueuedTokens int64
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.CanResume && (r.Kind == KindStream || r.Kind == KindBatch)
}

// Backend is one service of a route and its share of the requests.
type Backend struct {
	Service core.DeploymentID
	Weight  int
}

// Serves reports whether requests of the route may go to a service.
func (r *Route) Serves(service core.DeploymentID) bool {
	return slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Service == service })
}

// Pick chooses a service by weight with a number drawn at random.
func (r *Route) Pick(random uint64) core.DeploymentID {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		if len(r.Backends) == 0 {
			return ""
		}
		return r.Backends[0].Service
	}
	n := int(random % uint64(total))
	for _, b := range r.Backends {
		if n -= b.Weight; n < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}
