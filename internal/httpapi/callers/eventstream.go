package callers

import (
	"errors"
	"net/http"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/httpapi"
	"gentiantide.example/gentiantide/internal/intent"
	"gentiantide.example/gentiantide/internal/relay"
)

// eventStream writes a generation as server-sent events. Nothing is written
// before the first token, so that a refusal still has its own status.
type eventStream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	form    genForm
	before  []byte
	after   []byte
	buf     []byte
	begun   bool
	usage   bool
	// kept collects the events of a call whose answer is stored, up to just
	// above intent.MaxAnswerBytes. Such a call goes on when its caller is gone.
	keep bool
	kept []byte
}

func newEventStream(w http.ResponseWriter, form genForm, usage, keep bool) *eventStream {
	s := &eventStream{w: w, control: http.NewResponseController(w), form: form, usage: usage, keep: keep}
	s.before, s.after = form.tokenChunk()
	s.buf = make([]byte, 0, 512)
	return s
}

// Token implements relay.Sink.
func (s *eventStream) Token(text string) error {
	s.begin()
	s.buf = append(s.buf, s.before...)
	s.buf = appendJSONString(s.buf, text)
	s.buf = append(s.buf, s.after...)
	return s.flush()
}

// begin starts the buffer of the next write, on the first call with the
// headers and the first event.
func (s *eventStream) begin() {
	s.buf = s.buf[:0]
	if s.begun {
		return
	}
	s.begun = true
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("X-Accel-Buffering", "no")
	if s.form.chat {
		s.buf = s.form.appendRoleChunk(s.buf)
	}
}

func (s *eventStream) flush() error {
	if s.keep && len(s.kept) <= intent.MaxAnswerBytes {
		s.kept = append(s.kept, s.buf...)
	}
	_, err := s.w.Write(s.buf)
	if err == nil {
		err = s.control.Flush()
	}
	if s.keep || errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}

// end writes the last events of a whole answer.
func (s *eventStream) end(result relay.Result) {
	s.begin()
	s.buf = s.form.appendFinishChunk(s.buf, result.FinishReason)
	if s.usage {
		s.buf = s.form.appendUsageChunk(s.buf, result)
	}
	s.buf = append(s.buf, "data: [DONE]\n\n"...)
	_ = s.flush()
}

// fail ends the stream with an error event, or writes the refusal as the
// answer if nothing was written before.
func (s *eventStream) fail(refusal *core.Refusal) {
	if !s.begun {
		httpapi.WriteRefusal(s.w, refusal)
		return
	}
	s.buf = append(s.buf[:0], "event: error\ndata: "...)
	s.buf = append(s.buf, httpapi.RefusalJSON(refusal)...)
	s.buf = append(s.buf, "\n\n"...)
	_ = s.flush()
}

// answer returns what was written, for storing.
func (s *eventStream) answer() intent.Answer {
	return intent.Answer{
		Status: http.StatusOK,
		Header: http.Header{"Content-Type": {"text/event-stream"}, "Cache-Control": {"no-store"}},
		Body:   s.kept,
	}
}
