package batch

import (
	"encoding/json"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Item is one request of a job, as passed to a Runner.
type Item struct {
	// ID is unique, and the same in every execution on every node.
	ID       string
	Job      core.JobID
	Org      core.Org
	Index    int // position in the input part
	CustomID string
	Method   string
	URL      string
	Body     json.RawMessage
	// NonIdempotent items are sent at most once.
	NonIdempotent bool
	// Due is the time at which the job should be complete.
	Due time.Time
	// Try is the number of this try, from 1. Retries after backend failures do
	// not increase it.
	Try int
}
