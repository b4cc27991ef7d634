package forward

import (
	"net/http"
	"strconv"
	"time"
)

// refuse sends an error response of this node, as opposed to one of a replica.
func refuse(w http.ResponseWriter, status int, reason string, retryAfter time.Duration) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if retryAfter > 0 {
		SetRetryAfter(h, retryAfter)
	}
	body := []byte(`{"error":{"code":` + strconv.Quote(reason) + `}}` + "\n")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // fails only if the caller has disconnected
}

// SetRetryAfter sets the Retry-After header in seconds, with milliseconds as
// decimals.
func SetRetryAfter(h http.Header, after time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}
