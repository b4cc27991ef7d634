package intent

import "net/http"

// MaxResponseBytes bounds the stored answer, headers included.
const MaxResponseBytes = 64 << 10

// Response is what a caller was given.
type Response struct {
	Status int         `msgpack:"status"`
	Header http.Header `msgpack:"header"`
	Body   []byte      `msgpack:"body"`
}

// fits reports whether the answer is small enough to be stored.
func (a Response) fits() bool {
	size := len(a.Body)
	for name, values := range a.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size <= MaxResponseBytes
}
