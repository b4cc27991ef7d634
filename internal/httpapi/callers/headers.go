package callers

import (
	"net/http"
	"strconv"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// The request headers of the API.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerNonIdempotent  = "X-Gentiantide-Non-Idempotent"
	headerTimeout        = "X-Gentiantide-Timeout"
)

// headerReplayed marks the response of an earlier call with the same idempotency
// key.
const headerReplayed = "X-Gentiantide-Replayed"

const maxKeyLength = 255

// options are the parameters in the headers of a request.
type options struct {
	idempotencyKey string
	nonIdempotent  bool
	timeout        time.Duration // 0 if not given
}

func parseOptions(header http.Header) (options, *core.Refusal) {
	o := options{idempotencyKey: header.Get(headerIdempotencyKey)}
	if len(o.idempotencyKey) > maxKeyLength {
		return o, core.Refuse(core.CodeInvalidRequest, headerIdempotencyKey+" is longer than 255 bytes")
	}
	if value := header.Get(headerNonIdempotent); value != "" {
		parsed, err := strconv.ParseBool(value)
		if err != nil {
			return o, core.Refuse(core.CodeInvalidRequest, headerNonIdempotent+` must be "true" or "false"`)
		}
		o.nonIdempotent = parsed
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

// defaultOnlineDeadline applies to deployments that have no online deadline in the
// settings.
const defaultOnlineDeadline = 10 * time.Minute

// deadline returns the deadline of a request that arrived at now. The caller's
// timeout can only shorten it.
func (o options) deadline(now time.Time, limit time.Duration) time.Time {
	if limit <= 0 {
		limit = defaultOnlineDeadline
	}
	if o.timeout > 0 {
		limit = min(limit, o.timeout)
	}
	return now.Add(limit)
}
