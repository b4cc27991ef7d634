package httpserver

import (
	"net/http"
	"time"
)

// writeTimeout bounds each write of a streamed response, so that a caller that
// stops reading does not hold the connection. Other responses are small, or have
// the deadline of their request.
const writeTimeout = 30 * time.Second

// response is an http.ResponseWriter that records whether the response has
// started and bounds the time of each write of a streamed response.
type response struct {
	http.ResponseWriter
	streamed bool
	started  bool // a final header was written, perhaps only to a buffer
}

// Unwrap lets http.ResponseController reach the connection.
func (w *response) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *response) WriteHeader(status int) {
	w.started = w.started || status >= http.StatusOK
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *response) Write(p []byte) (int, error) {
	w.started = true
	if w.streamed {
		_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	return w.ResponseWriter.Write(p)
}

// FlushError lets http.ResponseController flush, which also sends the header.
func (w *response) FlushError() error {
	w.started = true
	return http.NewResponseController(w.ResponseWriter).Flush()
}
