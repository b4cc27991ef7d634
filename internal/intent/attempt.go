package intent

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// MaxAge is the time after the start of an attempt from which it may no longer send
// the call. A node that was paused after it wrote the record must not send much
// later.
const MaxAge = 5 * time.Second

// Attempt is the right to send a call once. It must not be used concurrently.
type Attempt struct {
	key    string // of the row in the table service
	id     string
	digest Digest
	// startedAt is a time before the first write of the row, with a monotonic
	// clock reading.
	startedAt time.Time
	// version is the row version that the next write has as its condition.
	version uint64
}

// CheckAge must be called directly before the call is sent. It returns a refusal if
// the attempt is MaxAge old or older; the attempt must then be abandoned.
func (a *Attempt) CheckAge() *core.Refusal {
	if time.Since(a.startedAt) < MaxAge {
		return nil
	}
	refusal := core.Refuse(core.CodeDeadlineExceeded, "the call waited too long after its intent was recorded")
	refusal.RetryAfter = time.Second
	return refusal
}

// record returns a record of the attempt in the given state, written now.
func (a *Attempt) record(state State, response *Response) record {
	return record{State: state, Attempt: a.id, Digest: a.digest, Response: response, WrittenAt: time.Now().UTC()}
}
