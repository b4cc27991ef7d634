package routetable

import (
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Route configures how requests to one host and path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix   string
	Kind     Kind
	Backends []Backend
	// Timeout limits the time from the arrival of a request to its complete
	// response.
	Timeout time.Duration
	// Objective is the target time from the arrival of a request to the start of
	// its response.
	Objective time.Duration
	// CallerIdleTimeout is how long callers of a stream wait for its first event and
	// between two events. 0 means that only Timeout limits the wait.
	CallerIdleTimeout time.Duration
	// MaxAttempts limits how many replicas may run one request.
	MaxAttempts int
	// CanResume is set if an interrupted stream may be resumed at another replica.
	CanResume bool
	// DueAfter is the time from the submission of a job until all its results are
	// due.
	DueAfter time.Duration
	// AbandonAfter is the time from the submission of a job after which its
	// unfinished items may be abandoned.
	AbandonAfter time.Duration
	// MaxQueuedTokens limits the tokens of unfinished items across all nodes. 0
	// means no limit.
	MaxQueuedTokens int64
	// Public is set if callers need no key.
	Public bool
	// Priority is the rank of its requests, unless their organisation has one. 0 is the
	// highest.
	Priority int
	// Sticky is set if its requests have prompts of which replicas keep parts.
	Sticky bool
}

// Retryable reports whether a request of the route may be retried after it may
// have run.
func (r *Route) Retryable() bool {
	return r.Kind == KindSafe || r.CanResume && (r.Kind == KindStream || r.Kind == KindBatch)
}

// PriorityFor returns the rank of the requests of an organisation, or of callers without
// one if it is nil.
func (r *Route) PriorityFor(org *Organisation) int {
	if org != nil && org.Priority != nil {
		return *org.Priority
	}
	return r.Priority
}

// Backend is a service that serves a route. Its share of the requests is
// proportional to Weight.
type Backend struct {
	Service core.DeploymentID
	Weight  int
}

// HasBackend reports whether the service is one of the route's backends.
func (r *Route) HasBackend(service core.DeploymentID) bool {
	return slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Service == service })
}

// Pick selects a service by weight, using a random number from the caller. If no
// weight is positive, it returns the first service, or "" without backends.
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
