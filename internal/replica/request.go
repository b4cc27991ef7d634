package replica

import (
	"bufio"
	"net/http"
	"strconv"
)

// Request is one HTTP request to a replica.
type Request struct {
	// ID is the request ID that MatchResponse looks for, or empty. It may be that of an
	// earlier request that was tried again.
	ID     string
	Method string
	// Target is the request target: path and query exactly as the caller sent
	// them.
	Target string
	Host   string
	// Header holds the end-to-end headers.
	Header http.Header
	Body   []byte
	// HasBody is set if the caller sent a body, even an empty one.
	HasBody bool
	// MatchResponse says whether a response with these headers belongs to this
	// request. If nil, no response names its request.
	MatchResponse func(http.Header) Match
}

func (r *Request) match(h http.Header) Match {
	if r.MatchResponse == nil {
		return MatchUnknown
	}
	return r.MatchResponse(h)
}

// writeHead writes the request line and the headers.
func (r *Request) writeHead(w *bufio.Writer) error {
	_, _ = w.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(w); err != nil {
		return err
	}
	if r.HasBody || len(r.Body) > 0 {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_, err := w.WriteString("\r\n") // a bufio.Writer keeps its first error
	return err
}
