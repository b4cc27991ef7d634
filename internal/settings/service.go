package settings

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// DeploymentKind says what the replicas of a deployment are.
type DeploymentKind string

// The kinds of deployments.
const (
	KindModel DeploymentKind = "model"
	KindPlain DeploymentKind = "plain"
)

// Deployment is the effective settings of one deployment. It is immutable.
type Deployment struct {
	// ID is the path below "/services", for example "verse-models".
	ID   core.DeploymentID
	Kind DeploymentKind
	// Model is the name callers use ("model" in their requests).
	Model string
	// Route is the path prefix of a plain service, for example "/permit-desk/".
	Route string
	// NonIdempotentRoutes lists "METHOD /path" of a plain service whose calls
	// are non-idempotent without the caller's saying so.
	NonIdempotentRoutes []string

	// OnlineDeadline bounds an online request from arrival to its last token.
	OnlineDeadline time.Duration
	// FirstToken is the target for the first token; a request that cannot
	// meet it is refused early.
	FirstToken time.Duration
	// QueueLimit bounds the requests that wait for one replica.
	QueueLimit int
	// Slots is the number of requests a replica is given at once; 0 takes
	// what the engine reports.
	Slots int

	// RetryBudget is the share of successes, 0 to 1, that may be spent on
	// retries, hedges and resumes.
	RetryBudget float64
	MaxAttempts int
	HedgeAfter  time.Duration // 0: no hedging
	// EjectRatio is how many times slower than the deployment's median a
	// replica is before it is ejected.
	EjectRatio    float64
	EjectDuration time.Duration

	BatchEnabled  bool
	BatchMaxTries int
	// BatchHeadroom is the number of a replica's slots that batch leaves free.
	BatchHeadroom     int
	BatchItemDeadline time.Duration

	HonoursFencing bool
	ModelVersion   string
	Adapter        string
	Role           string
}
