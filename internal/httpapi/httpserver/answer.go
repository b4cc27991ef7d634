package httpserver

import (
	"net/http"
	"time"
)

// writeTimeout bounds the time in which a caller takes a piece of a streamed
// answer. Other answers are small, or have the deadline of their request.
const writeTimeout = 30 * time.Second

// answer is a response writer that knows whether the answer has begun.
type answer struct {
	http.ResponseWriter
	paced bool
	begun bool
}

// Unwrap lets http.ResponseController reach the connection.
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) {
	a.begun = a.begun || status >= http.StatusOK
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *answer) Write(p []byte) (int, error) {
	a.begun = true
	if a.paced {
		_ = http.NewResponseController(a.ResponseWriter).SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	return a.ResponseWriter.Write(p)
}

// FlushError lets http.ResponseController flush; the header goes out, too.
func (a *answer) FlushError() error {
	a.begun = true
	return http.NewResponseController(a.ResponseWriter).Flush()
}
