package httpserver

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/reqbody"
)

// noRoomRetryAfter is the Retry-After of a body for which there is no memory. Others give
// theirs back within a second.
const noRoomRetryAfter = time.Second

// ReadBody reads the body of a request, of at most limit bytes, within the memory that the
// server has for its callers. The bytes are the handler's until it returns. A refusal
// means that the request has not run.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *core.Refusal) {
	data, err := readBody(w, r, limit)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return data, nil
	case errors.As(err, &tooLarge):
		return nil, core.Refuse(core.CodeInvalidRequest, fmt.Sprintf("the request body is larger than %d MiB", limit>>20))
	case errors.Is(err, reqbody.ErrNoRoom), errors.Is(err, reqbody.ErrEnded):
		refusal := core.Refuse(core.CodeOverloaded, err.Error())
		refusal.RetryAfter = noRoomRetryAfter
		return nil, refusal
	}
	return nil, core.Refuse(core.CodeInvalidRequest, "the request body could not be read: "+err.Error())
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	b, ok := r.Body.(*limitedBody)
	if !ok || b.done {
		return io.ReadAll(http.MaxBytesReader(w, r.Body, limit)) // not behind a server of this package, or read before
	}
	in := r.WithContext(r.Context())
	in.Body = b.ReadCloser
	body, err := reqbody.Read(b.writer, in, b.account, limit, time.Now().Add(b.remaining))
	b.done, b.holder = true, body.Holder
	return body.Bytes, err
}
