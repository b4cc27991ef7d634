package callerconn

import "net/http"

// response knows whether a handler has begun its response.
type response struct {
	http.ResponseWriter
	begun  bool
	status int
}

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) {
	r.begun, r.status = true, status
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *response) Write(p []byte) (int, error) {
	r.begun = true
	return r.ResponseWriter.Write(p)
}

// Unwrap makes the methods of http.ResponseController available.
func (r *response) Unwrap() http.ResponseWriter { return r.ResponseWriter }
