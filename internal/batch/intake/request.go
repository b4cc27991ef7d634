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

// Request asks for a job.
type Request struct {
	Org      core.Org
	Key      string // idempotency key, may be empty
	File     core.FileID
	Endpoint string
	Window   string // a duration such as "6h"; empty for the default
	Metadata map[string]string
}

// maxWindow bounds completion windows.
const maxWindow = 30 * 24 * time.Hour

// job builds the job row of a request for a file.
func (r *Request) job(m *records.Manifest, cfg batch.Config, now time.Time) (records.Job, *core.Refusal) {
	for _, u := range m.URLs {
		if u.URL != r.Endpoint {
			return records.Job{}, core.Refuse(core.CodeInvalidRequest,
				fmt.Sprintf("line %d: url is %q, but the batch's endpoint is %q", u.Line, u.URL, r.Endpoint))
		}
	}
	window := cfg.DefaultWindow
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
	id := records.JobID(r.Org, r.key())
	return records.Job{
		ID: id, Results: records.ResultPrefix(id, rand.Text()), Org: r.Org, File: m.ID, PartPrefix: m.Prefix,
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

// key returns the idempotency key; without one, a resend for the same file and
// endpoint means the same job. The prefixes keep the two kinds apart.
func (r *Request) key() string {
	if r.Key != "" {
		return "key:" + r.Key
	}
	return "file:" + string(r.File) + ":" + r.Endpoint
}
