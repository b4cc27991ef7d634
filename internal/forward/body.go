package forward

import (
	"errors"
	"net"
	"net/http"
	"time"

	"gentiantide.example/gentiantide/internal/reqbody"
	"gentiantide.example/gentiantide/internal/routetable"
)

const (
	// noRoomRetryAfter is the Retry-After of a node that has no memory for a body. Other
	// nodes may have some.
	noRoomRetryAfter = 200 * time.Millisecond
	// decodedCopies is how much more memory a submission takes while it is decoded and
	// stored, in multiples of its body: the items' bodies, and the stored object with the
	// growth of its buffer.
	decodedCopies = 3
)

// readBody reads the whole request body. A request is sent to a replica only after
// it was received completely, so that a caller that disconnects leaves no partial
// request at a replica.
func (r *request) readBody(limits routetable.Limits) error {
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	body, err := reqbody.Read(r.w, r.in, r.h.Memory, limit, r.deadline)
	r.body, r.held = body.Bytes, body.Holder
	if err == nil && r.route.Kind == routetable.KindBatch && r.held != nil {
		err = reqbody.Reserve(r.h.Memory, r.held, decodedCopies*int64(len(r.body)))
	}
	return err
}

// refuseBody refuses a request whose body cannot be read. It has not run and never will.
func (r *request) refuseBody(err error) {
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	status, reason, retryAfter := http.StatusBadRequest, "bad_body", time.Duration(0)
	switch {
	case errors.As(err, &tooLarge):
		status, reason = http.StatusRequestEntityTooLarge, "body_too_large"
	case errors.Is(err, reqbody.ErrNoRoom):
		status, reason, retryAfter = http.StatusServiceUnavailable, "no_memory", noRoomRetryAfter
	case errors.Is(err, reqbody.ErrEnded):
		status, reason = http.StatusRequestTimeout, "body_ended_for_others"
	case errors.Is(err, reqbody.ErrTooSlow):
		status, reason = http.StatusRequestTimeout, "body_too_slow"
	case errors.As(err, &timeout) && timeout.Timeout():
		status, reason = http.StatusRequestTimeout, "body_timeout"
	}
	r.h.Counters.RefuseBody(reason)
	r.h.Log.Info("request refused", "request", r.reqInfo.ID, "reason", reason, "error", err)
	r.w.Header().Set("Connection", "close")
	refuse(r.w, status, reason, retryAfter)
}
