package callers

import (
	"errors"
	"net/http"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/httpapi"
	"gentiantide.example/gentiantide/internal/intent"
	"gentiantide.example/gentiantide/internal/relay"
)

// eventStream writes a generation as server-sent events. It writes nothing before
// the first token, so that an earlier refusal can set the status of the response.
type eventStream struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	encoder      responseEncoder
	tokenPrefix  []byte
	tokenSuffix  []byte
	buf          []byte
	started      bool
	includeUsage bool
	// record is set for a call whose response is stored. Such a call continues
	// after its caller has disconnected.
	record bool
	// recorded holds the events of such a call, up to just above
	// intent.MaxResponseBytes.
	recorded []byte
}

func newEventStream(w http.ResponseWriter, encoder responseEncoder, includeUsage, record bool) *eventStream {
	s := &eventStream{w: w, control: http.NewResponseController(w), encoder: encoder, includeUsage: includeUsage, record: record}
	s.tokenPrefix, s.tokenSuffix = encoder.tokenChunk()
	s.buf = make([]byte, 0, 512)
	return s
}

// Token implements relay.Sink.
func (s *eventStream) Token(text string) error {
	s.begin()
	s.buf = append(s.buf, s.tokenPrefix...)
	s.buf = appendJSONString(s.buf, text)
	s.buf = append(s.buf, s.tokenSuffix...)
	return s.flush()
}

// begin resets the buffer for the next write. The first call also sets the headers
// and, for a chat, appends the first event.
func (s *eventStream) begin() {
	s.buf = s.buf[:0]
	if s.started {
		return
	}
	s.started = true
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("X-Accel-Buffering", "no")
	if s.encoder.chat {
		s.buf = s.encoder.appendRoleChunk(s.buf)
	}
}

// flush writes the buffer to the caller and records it if required. It ignores
// write errors of a recorded call, which continues without its caller.
func (s *eventStream) flush() error {
	if s.record && len(s.recorded) <= intent.MaxResponseBytes {
		s.recorded = append(s.recorded, s.buf...)
	}
	_, err := s.w.Write(s.buf)
	if err == nil {
		err = s.control.Flush()
	}
	if s.record || errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}

// finish writes the last events of a complete response.
func (s *eventStream) finish(result relay.Result) {
	s.begin()
	s.buf = s.encoder.appendFinishChunk(s.buf, result.FinishReason)
	if s.includeUsage {
		s.buf = s.encoder.appendUsageChunk(s.buf, result)
	}
	s.buf = append(s.buf, "data: [DONE]\n\n"...)
	_ = s.flush()
}

// fail ends the stream with an error event, or writes the refusal as the
// response if nothing was written before.
func (s *eventStream) fail(refusal *core.Refusal) {
	if !s.started {
		httpapi.WriteRefusal(s.w, refusal)
		return
	}
	s.buf = append(s.buf[:0], "event: error\ndata: "...)
	s.buf = append(s.buf, httpapi.RefusalJSON(refusal)...)
	s.buf = append(s.buf, "\n\n"...)
	_ = s.flush()
}

// response returns the recorded response, for storing.
func (s *eventStream) response() intent.Response {
	return intent.Response{
		Status: http.StatusOK,
		Header: http.Header{"Content-Type": {"text/event-stream"}, "Cache-Control": {"no-store"}},
		Body:   s.recorded,
	}
}
