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

// drainTimeout is how long an engine may take to end the response body after the
// [DONE] marker.
const drainTimeout = time.Second

var doneMarker = []byte("[DONE]")

// stream is a backend.Stream over server-sent events.
type stream struct {
	engine           *Engine
	requestID, runID string
	body             io.ReadCloser
	cancel           context.CancelFunc
	eventReader      *eventReader

	nextIndex int   // index of the next token
	err       error // the result of Next once the stream has ended
	finalSeen bool  // the chunk with the finish reason has arrived
	finish    backend.Finish
	closed    bool
}

var _ backend.Stream = (*stream)(nil)

func newStream(e *Engine, req backend.GenerateRequest, resp *http.Response, cancel context.CancelFunc) *stream {
	return &stream{
		engine:      e,
		requestID:   req.ID,
		runID:       resp.Header.Get(headerEngineRun),
		body:        resp.Body,
		cancel:      cancel,
		eventReader: newEventReader(resp.Body),
		nextIndex:   req.ResumeFrom,
	}
}

// Next implements backend.Stream.
func (s *stream) Next() (backend.Token, error) {
	for s.err == nil {
		token, ok, err := s.readEvent()
		if err != nil {
			s.setOutcome(err)
			break
		}
		if ok {
			return token, nil
		}
	}
	return backend.Token{}, s.err
}

// readEvent reads one event and returns its token, if it has one.
func (s *stream) readEvent() (backend.Token, bool, error) {
	data, err := s.eventReader.next()
	if err != nil {
		return backend.Token{}, false, err
	}
	if bytes.Equal(data, doneMarker) {
		return backend.Token{}, false, s.checkComplete()
	}
	c, err := parseChunk(data)
	if err != nil {
		return backend.Token{}, false, err
	}
	if c.finish != "" {
		s.finalSeen = true
		s.finish.Reason = c.finish
	}
	if c.usage != nil {
		s.finish.PromptTokens = c.usage.PromptTokens
		s.finish.OutputTokens = c.usage.CompletionTokens
	}
	return s.checkToken(c)
}

// checkToken returns the token of a chunk. It is an error if the token is not
// the next one in order.
func (s *stream) checkToken(c chunk) (backend.Token, bool, error) {
	if c.index < 0 {
		if c.text != "" {
			return backend.Token{}, false, errors.New("chunk has text but no token index")
		}
		return backend.Token{}, false, nil
	}
	if c.index != s.nextIndex {
		return backend.Token{}, false, fmt.Errorf("received token %d, expected token %d", c.index, s.nextIndex)
	}
	s.nextIndex++
	return backend.Token{Index: c.index, Text: c.text}, true, nil
}

// errStreamComplete means that the final chunk and the [DONE] marker have
// arrived.
var errStreamComplete = errors.New("stream complete")

func (s *stream) checkComplete() error {
	switch {
	case !s.finalSeen:
		return errors.New("[DONE] marker without a finish reason")
	case s.finish.OutputTokens == 0:
		s.finish.OutputTokens = s.nextIndex // the engine reported no usage
	case s.finish.OutputTokens != s.nextIndex:
		return fmt.Errorf("engine reported %d output tokens but the stream ended after %d", s.finish.OutputTokens, s.nextIndex)
	}
	return errStreamComplete
}

// setOutcome ends the stream: it sets what Next returns from now on and releases
// the connection.
func (s *stream) setOutcome(cause error) {
	if errors.Is(cause, errStreamComplete) {
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

// drain reads the rest of the body after the [DONE] marker, so that the
// connection can be reused. If the body does not end within drainTimeout, the
// connection is closed instead.
func (s *stream) drain() {
	timer := time.AfterFunc(drainTimeout, s.cancel)
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, s.body, readBufferSize)
	s.release()
}

func (s *stream) release() {
	s.cancel()
	s.body.Close()
}

// Finish implements backend.Stream.
func (s *stream) Finish() backend.Finish { return s.finish }

// Close implements backend.Stream. It closes the connection, which cancels the
// generation on most engines. For engines that do not detect the disconnect it
// also sends a cancellation, without waiting for the response.
func (s *stream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	if s.err == io.EOF {
		return nil
	}
	if s.err == nil {
		s.err = fmt.Errorf("%w: stream closed by the receiver", backend.ErrInterrupted)
		s.release()
	}
	if s.requestID != "" && s.runID != "" {
		go s.engine.cancelRun(s.requestID, s.runID)
	}
	return nil
}
