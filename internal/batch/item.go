package batch

import (
	"encoding/json"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Item is one request of a job, as given to a Runner.
type Item struct {
	// ID is unique and the same on every try and every node.
	ID       string
	Job      core.JobID
	Org      core.Org
	Index    int // position in its range
	CustomID string
	Method   string
	URL      string
	Body     json.RawMessage
	// NonIdempotent items are sent at most once.
	NonIdempotent bool
	// Due is the time at which the job should be complete.
	Due time.Time
	// Try counts from 1; repeats after backend failures do not raise it.
	Try int
}
