package intent

import "net/http"

// MaxAnswerBytes bounds the stored answer, headers included.
const MaxAnswerBytes = 64 << 10

// Answer is what a caller was given.
type Answer struct {
	Status int         `msgpack:"status"`
	Header http.Header `msgpack:"header"`
	Body   []byte      `msgpack:"body"`
}

// fits reports whether the answer is small enough to be stored.
func (a Answer) fits() bool {
	size := len(a.Body)
	for name, values := range a.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size <= MaxAnswerBytes
}
