package results

import (
	"encoding/json"

	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/core"
)

// Response is the response of an item in its result line.
type Response struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// Failure is the error of an item in its result line.
type Failure struct {
	Code    core.Code `json:"code"`
	Message string    `json:"message"`
}

// Line is a result line: the result of one item.
type Line struct {
	ID       string    `json:"id"`
	CustomID string    `json:"custom_id"`
	Response *Response `json:"response"`
	Error    *Failure  `json:"error"`
}

// Encode returns the result line of an item, including the line feed, and whether
// the result is a failure.
func Encode(item batch.Item, out batch.Outcome) ([]byte, bool) {
	line := Line{ID: item.ID, CustomID: item.CustomID}
	if out.Kind == batch.Done {
		line.Response = &Response{StatusCode: out.StatusCode, RequestID: out.RequestID, Body: jsonBody(out.Body)}
		if line.Response.StatusCode == 0 {
			line.Response.StatusCode = 200
		}
	} else {
		line.Error = failureOf(out)
	}
	data, err := json.Marshal(line)
	if err != nil {
		// Cannot happen: the line contains only strings, numbers and valid JSON.
		panic(err)
	}
	return append(data, '\n'), line.Error != nil
}

func jsonBody(data []byte) json.RawMessage {
	if json.Valid(data) {
		return data
	}
	text, _ := json.Marshal(string(data)) // encoding a string cannot fail
	return text
}

func failureOf(out batch.Outcome) *Failure {
	f := &Failure{Code: out.Code, Message: out.Message}
	if f.Code == "" {
		f.Code = core.CodeBackendFailed
	}
	if out.Kind == batch.Unknown {
		f.Code = core.CodeOutcomeUnknown
		f.Message = "the item may have run; it was not run again"
		if out.Message != "" {
			f.Message += ": " + out.Message
		}
	}
	return f
}
