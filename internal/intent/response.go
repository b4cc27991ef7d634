package intent

import "net/http"

// MaxResponseBytes is the maximum size of a stored response, including its headers.
const MaxResponseBytes = 64 << 10

// Response is the response that a caller received, stored for replay.
type Response struct {
	Status int         `msgpack:"status"`
	Header http.Header `msgpack:"header"`
	Body   []byte      `msgpack:"body"`
}

// fits reports whether the response is small enough to be stored.
func (r Response) fits() bool {
	size := len(r.Body)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size <= MaxResponseBytes
}
