package intake

import (
	"crypto/rand"
	"fmt"
	"time"

	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/core"
)

// NonIdempotentKey is the metadata key that marks the items of a job as
// non-idempotent when its value is "true".
const NonIdempotentKey = "non_idempotent"

// Request is a request to create a job.
type Request struct {
	Org            core.Org
	IdempotencyKey string // may be empty
	File           core.FileID
	Endpoint       string
	Window         string // a duration such as "6h"; empty for the default
	Metadata       map[string]string
}

// maxWindow is the longest allowed completion window.
const maxWindow = 30 * 24 * time.Hour

// jobRow validates the request against the manifest of its file and returns the
// job row.
func (r *Request) jobRow(m *records.Manifest, cfg batch.Config, now time.Time) (records.Job, *core.Refusal) {
	for _, u := range m.URLs {
		if u.URL != r.Endpoint {
			return records.Job{}, core.Refuse(core.CodeInvalidRequest,
				fmt.Sprintf("line %d: url is %q, but the batch's endpoint is %q", u.Line, u.URL, r.Endpoint))
		}
	}
	window := cfg.DefaultCompletionWindow
	if r.Window != "" {
		d, err := time.ParseDuration(r.Window)
		if err != nil || d <= 0 || d > maxWindow {
			return records.Job{}, core.Refuse(core.CodeInvalidRequest,
				fmt.Sprintf("completion_window is %q, expected a duration such as \"6h\", at most \"720h\"", r.Window))
		}
		window = d
	}
	nonIdempotent, refusal := r.nonIdempotent()
	if refusal != nil {
		return records.Job{}, refusal
	}
	id := records.JobID(r.Org, r.idempotencyKey())
	return records.Job{
		ID: id, ResultPrefix: records.ResultPrefix(id, rand.Text()), Org: r.Org, File: m.ID, PartPrefix: m.Prefix,
		Endpoint: r.Endpoint, Window: r.Window, Metadata: r.Metadata, NonIdempotent: nonIdempotent,
		Ranges: m.Ranges, Items: m.Items, State: records.JobInProgress,
		Created: now, Due: now.Add(window),
	}, nil
}

func (r *Request) nonIdempotent() (bool, *core.Refusal) {
	switch v := r.Metadata[NonIdempotentKey]; v {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	default:
		return false, core.Refuse(core.CodeInvalidRequest,
			fmt.Sprintf("metadata %s is %q, expected \"true\" or \"false\"", NonIdempotentKey, v))
	}
}

// idempotencyKey returns the key of the request. A request without one gets a key
// from its file and endpoint, so that sending it again returns the same job. The
// prefixes keep the two kinds of keys distinct.
func (r *Request) idempotencyKey() string {
	if r.IdempotencyKey != "" {
		return "key:" + r.IdempotencyKey
	}
	return "file:" + string(r.File) + ":" + r.Endpoint
}
