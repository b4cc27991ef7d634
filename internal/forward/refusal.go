package forward

import (
	"net/http"
	"strconv"
	"time"
)

// refuse sends an answer of the node's own.
func refuse(w http.ResponseWriter, status int, reason string, retryAfter time.Duration) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if retryAfter > 0 {
		SetRetryAfter(h, retryAfter)
	}
	body := []byte(`{"error":{"code":` + strconv.Quote(reason) + `}}` + "\n")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a caller that left does not read its refusal
}

// SetRetryAfter tells a caller when to come back, in seconds with fractions.
func SetRetryAfter(h http.Header, after time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}
