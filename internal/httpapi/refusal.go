package httpapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// WriteRefusal writes a refusal as a response with status, headers and JSON body.
func WriteRefusal(w http.ResponseWriter, refusal *core.Refusal) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "no-store")
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatInt(ceilSeconds(refusal.RetryAfter), 10))
	}
	w.WriteHeader(refusal.HTTPStatus())
	_, _ = w.Write(append(RefusalJSON(refusal), '\n'))
}

// RefusalJSON returns {"error":{"type","code","message","not_run"}}; not_run
// is true if the request certainly was not run, else "unknown".
func RefusalJSON(refusal *core.Refusal) []byte {
	var notRun any = "unknown"
	if refusal.Execution == core.NotRun {
		notRun = true
	}
	body := errorBody{Error: errorDetail{
		Type: errorType(refusal), Code: string(refusal.Code), Message: refusal.Message, NotRun: notRun,
	}}
	data, _ := json.Marshal(body) // strings and a bool always encode
	return data
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    string `json:"type"`
	Code    string `json:"code"`
	Message string `json:"message"`
	NotRun  any    `json:"not_run"`
}

// errorType returns the error type in the terms of the OpenAI API.
func errorType(refusal *core.Refusal) string {
	switch status := refusal.HTTPStatus(); {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusNotFound:
		return "not_found_error"
	case status == http.StatusConflict:
		return "conflict_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

func ceilSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
