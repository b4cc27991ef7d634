package settings

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// DeploymentKind tells whether the replicas of a deployment are engines that serve
// a model or backend servers of a plain HTTP service.
type DeploymentKind string

// The kinds of deployments.
const (
	KindModel DeploymentKind = "model"
	KindPlain DeploymentKind = "plain"
)

// Deployment holds the effective settings of one deployment. It is immutable.
type Deployment struct {
	// ID is the path below "/services", for example "verse-models".
	ID   core.DeploymentID
	Kind DeploymentKind
	// Model is the model name in callers' requests (field "model").
	Model string
	// Route is the path prefix of a plain service, for example "/permit-desk/".
	Route string
	// NonIdempotentRoutes lists the calls of a plain service, as "METHOD /path",
	// that are non-idempotent even if the caller does not mark them so.
	NonIdempotentRoutes []string

	// OnlineDeadline bounds an online request from its arrival to the last token.
	OnlineDeadline time.Duration
	// FirstToken is the target time to the first token. A request that is not
	// expected to meet it is refused early.
	FirstToken time.Duration
	// QueueLimit bounds the requests that are queued for one replica.
	QueueLimit int
	// Slots is the maximum number of concurrent requests per replica; 0 means
	// the number that the engine reports.
	Slots int

	// RetryBudget is the allowed ratio of retries, hedges and resumes to
	// successful requests, 0 to 1.
	RetryBudget float64
	MaxAttempts int
	HedgeAfter  time.Duration // 0: no hedging
	// EjectRatio is how many times slower than the deployment's median a
	// replica is before it is ejected.
	EjectRatio    float64
	EjectDuration time.Duration

	BatchEnabled  bool
	BatchMaxTries int
	// BatchHeadroom is the number of slots per replica that batch work leaves free.
	BatchHeadroom     int
	BatchItemDeadline time.Duration

	// HonoursFencing is set if the engine rejects orders with an old fencing number.
	HonoursFencing bool
	// ModelVersion, Adapter and Role are what the engines load and the role that is
	// assigned to them. An empty value leaves the engines unchanged.
	ModelVersion string
	Adapter      string
	Role         string
}
