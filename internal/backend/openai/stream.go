package openai

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"gentiantide.example/gentiantide/internal/backend"
)

// drainTimeout is how long an engine may take to end its answer after the end
// mark.
const drainTimeout = time.Second

var endMark = []byte("[DONE]")

// stream is a backend.Stream over server-sent events.
type stream struct {
	engine  *Engine
	id, run string
	body    io.ReadCloser
	cancel  context.CancelFunc
	events  *events

	next   int   // index of the next token
	err    error // the outcome, once the stream has ended
	ended  bool  // the final chunk has arrived
	finish backend.Finish
	closed bool
}

var _ backend.Stream = (*stream)(nil)

func newStream(e *Engine, req backend.GenerateRequest, resp *http.Response, cancel context.CancelFunc) *stream {
	return &stream{
		engine: e,
		id:     req.ID,
		run:    resp.Header.Get(headerRun),
		body:   resp.Body,
		cancel: cancel,
		events: newEvents(resp.Body),
		next:   req.ResumeFrom,
	}
}

// Next implements backend.Stream.
func (s *stream) Next() (backend.Token, error) {
	for s.err == nil {
		token, ok, err := s.step()
		if err != nil {
			s.end(err)
			break
		}
		if ok {
			return token, nil
		}
	}
	return backend.Token{}, s.err
}

// step reads one event and returns its token, if it has one.
func (s *stream) step() (backend.Token, bool, error) {
	data, err := s.events.next()
	if err != nil {
		return backend.Token{}, false, err
	}
	if bytes.Equal(data, endMark) {
		return backend.Token{}, false, s.checkEnd()
	}
	c, err := parseChunk(data)
	if err != nil {
		return backend.Token{}, false, err
	}
	if c.finish != "" {
		s.ended = true
		s.finish.Reason = c.finish
	}
	if c.usage != nil {
		s.finish.PromptTokens = c.usage.PromptTokens
		s.finish.OutputTokens = c.usage.CompletionTokens
	}
	return s.token(c)
}

// token checks that the tokens arrive in order and without gaps.
func (s *stream) token(c chunk) (backend.Token, bool, error) {
	if c.index < 0 {
		if c.text != "" {
			return backend.Token{}, false, errors.New("chunk has text and no token index")
		}
		return backend.Token{}, false, nil
	}
	if c.index != s.next {
		return backend.Token{}, false, fmt.Errorf("token %d arrived where token %d was expected", c.index, s.next)
	}
	s.next++
	return backend.Token{Index: c.index, Text: c.text}, true, nil
}

// errRegularEnd is the outcome of a stream with its final chunk and end mark.
var errRegularEnd = errors.New("regular end")

func (s *stream) checkEnd() error {
	switch {
	case !s.ended:
		return errors.New("end mark without a finish reason")
	case s.finish.OutputTokens == 0:
		s.finish.OutputTokens = s.next // the engine sent no usage
	case s.finish.OutputTokens != s.next:
		return fmt.Errorf("answer of %d tokens ended after %d", s.finish.OutputTokens, s.next)
	}
	return errRegularEnd
}

// end sets the outcome and releases the connection.
func (s *stream) end(cause error) {
	if errors.Is(cause, errRegularEnd) {
		s.err = io.EOF
		go s.drain()
		return
	}
	if errors.Is(cause, io.EOF) {
		cause = io.ErrUnexpectedEOF
	}
	s.err = fmt.Errorf("%w: %w", backend.ErrInterrupted, cause)
	s.release()
}

// drain reads what follows the end mark, so that the connection can be used
// again. An engine that does not end its answer in time loses the connection.
func (s *stream) drain() {
	timer := time.AfterFunc(drainTimeout, s.cancel)
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, s.body, readBuffer)
	s.release()
}

func (s *stream) release() {
	s.cancel()
	s.body.Close()
}

// Finish implements backend.Stream.
func (s *stream) Finish() backend.Finish { return s.finish }

// Close implements backend.Stream. It closes the connection, which cancels the
// generation on most engines, and then names the run to the engine, for those
// that do not notice. It does not wait for the engine.
func (s *stream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	if s.err == io.EOF {
		return nil
	}
	if s.err == nil {
		s.err = fmt.Errorf("%w: closed by the receiver", backend.ErrInterrupted)
		s.release()
	}
	if s.id != "" && s.run != "" {
		go s.engine.cancelRun(s.id, s.run)
	}
	return nil
}
