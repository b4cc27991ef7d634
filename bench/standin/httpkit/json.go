package httpkit

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"gentiantide.example/gentiantide/internal/infra/httpoutcome"
)

// ReadBody reads a whole body of at most limit bytes. If the body is too large
// or the sender closes the connection early, it responds with 413 or 400 and
// returns false.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		Error(w, http.StatusRequestEntityTooLarge, "too_large", err.Error())
		return nil, false
	case err != nil:
		BadRequest(w, "read body: "+err.Error())
		return nil, false
	}
	return body, true
}

// ReadJSON decodes a body of at most limit bytes into v and rejects unknown
// fields. On failure it responds with 400 or 413 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	body, ok := ReadBody(w, r, limit)
	if !ok {
		return false
	}
	if err := DecodeStrict(body, v); err != nil {
		BadRequest(w, "decode body: "+err.Error())
		return false
	}
	return true
}

// WriteJSON responds with a status and v encoded as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Error responds with an error body in the platform's format.
func Error(w http.ResponseWriter, status int, code, message string) {
	WriteJSON(w, status, httpoutcome.ErrorBody{Error: httpoutcome.ErrorDetail{Code: code, Message: message}})
}

// BadRequest responds with 400.
func BadRequest(w http.ResponseWriter, message string) {
	Error(w, http.StatusBadRequest, "bad_request", message)
}

// Unavailable responds with 503, which means that the call was refused and had
// no effect.
func Unavailable(w http.ResponseWriter, message string) {
	Error(w, http.StatusServiceUnavailable, "unavailable", message)
}

// Drop closes the connection without completing the response.
func Drop() { panic(http.ErrAbortHandler) }
