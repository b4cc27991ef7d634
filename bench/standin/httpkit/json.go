package httpkit

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"gentiantide.example/gentiantide/internal/infra/httpoutcome"
)

// ReadBody reads a whole body of at most limit bytes. It answers 413 or 400
// and returns false if that fails, also when the sender broke off.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		Error(w, http.StatusRequestEntityTooLarge, "too_large", err.Error())
		return nil, false
	case err != nil:
		BadRequest(w, "body: "+err.Error())
		return nil, false
	}
	return body, true
}

// ReadJSON decodes a body of at most limit bytes into v. Unknown fields are
// refused. It answers 400 or 413 and returns false if that fails.
func ReadJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	body, ok := ReadBody(w, r, limit)
	if !ok {
		return false
	}
	if err := DecodeStrict(body, v); err != nil {
		BadRequest(w, "body: "+err.Error())
		return false
	}
	return true
}

// WriteJSON answers with v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Error answers with the platform's error body.
func Error(w http.ResponseWriter, status int, code, message string) {
	WriteJSON(w, status, httpoutcome.ErrorBody{Error: httpoutcome.ErrorDetail{Code: code, Message: message}})
}

// BadRequest answers 400.
func BadRequest(w http.ResponseWriter, message string) {
	Error(w, http.StatusBadRequest, "bad_request", message)
}

// Unavailable answers 503: the call was refused and had no effect.
func Unavailable(w http.ResponseWriter, message string) {
	Error(w, http.StatusServiceUnavailable, "unavailable", message)
}

// Drop closes the connection without an answer.
func Drop() { panic(http.ErrAbortHandler) }
