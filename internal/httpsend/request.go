package httpsend

import "net/http"

// Request is one HTTP request with its whole body.
type Request struct {
	Method string
	URL    string
	Header http.Header
	Body   []byte
	// Replayable permits the transport to send the request again when a reused
	// connection breaks. Set it for reads only.
	Replayable bool
}

// Response is a complete answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}
