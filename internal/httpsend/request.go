package httpsend

import "net/http"

// Request is an HTTP request with its complete body.
type Request struct {
	Method string
	URL    string
	Header http.Header
	Body   []byte
	// Replayable allows the transport to send the request again when a reused
	// connection breaks. Set it for reads only.
	Replayable bool
}

// Response is an HTTP response with its complete body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}
