package callers

import (
	"net/http"
	"strconv"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// The request headers of the API.
const (
	headerKey           = "Idempotency-Key"
	headerNonIdempotent = "X-Gentiantide-Non-Idempotent"
	headerTimeout       = "X-Gentiantide-Timeout"
)

// headerReplayed marks an answer that was given before.
const headerReplayed = "X-Gentiantide-Replayed"

const maxKeyLength = 255

// options are what the headers of a request say.
type options struct {
	key           string
	nonIdempotent bool
	timeout       time.Duration // 0: not given
}

func parseOptions(header http.Header) (options, *core.Refusal) {
	o := options{key: header.Get(headerKey)}
	if len(o.key) > maxKeyLength {
		return o, core.Refuse(core.CodeInvalidRequest, headerKey+" is longer than 255 bytes")
	}
	if value := header.Get(headerNonIdempotent); value != "" {
		marked, err := strconv.ParseBool(value)
		if err != nil {
			return o, core.Refuse(core.CodeInvalidRequest, headerNonIdempotent+` must be "true" or "false"`)
		}
		o.nonIdempotent = marked
	}
	if value := header.Get(headerTimeout); value != "" {
		timeout, err := time.ParseDuration(value)
		if err != nil || timeout <= 0 {
			return o, core.Refuse(core.CodeInvalidRequest, headerTimeout+` must be a positive duration such as "1.4s"`)
		}
		o.timeout = timeout
	}
	return o, nil
}

// fallbackDeadline bounds requests of deployments without an online deadline.
const fallbackDeadline = 10 * time.Minute

// deadline returns when a request that arrived at now ends; the caller's
// timeout only shortens it.
func (o options) deadline(now time.Time, limit time.Duration) time.Time {
	if limit <= 0 {
		limit = fallbackDeadline
	}
	if o.timeout > 0 {
		limit = min(limit, o.timeout)
	}
	return now.Add(limit)
}
