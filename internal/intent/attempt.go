package intent

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// MaxAge is the age at which an intent may no longer be sent: a node that was
// paused after it wrote the intent must not send long after.
const MaxAge = 5 * time.Second

// Attempt is the right to send a call once. It is used by one goroutine.
type Attempt struct {
	key    string // of the row
	id     string
	digest Digest
	began  time.Time // before the row was written; carries the monotonic clock
	// version is the row version that the next write requires.
	version uint64
}

// CheckAge is asked directly before sending. It refuses if the intent is too old;
// the attempt must then be abandoned.
func (a *Attempt) CheckAge() *core.Refusal {
	if time.Since(a.began) < MaxAge {
		return nil
	}
	refusal := core.Refuse(core.CodeDeadlineExceeded, "the call waited too long after its intent was recorded")
	refusal.RetryAfter = time.Second
	return refusal
}

func (a *Attempt) record(state State, answer *Response) record {
	return record{State: state, Attempt: a.id, Digest: a.digest, Response: answer, WrittenAt: time.Now().UTC()}
}
