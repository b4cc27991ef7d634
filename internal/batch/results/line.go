package results

import (
	"encoding/json"

	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/core"
)

// Response is the answer of an item in its result line.
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

// Line is one result line.
type Line struct {
	ID       string    `json:"id"`
	CustomID string    `json:"custom_id"`
	Response *Response `json:"response"`
	Error    *Failure  `json:"error"`
}

// Encode returns the result line of an item, with its line feed, and whether
// it is a failure.
func Encode(item batch.Item, out batch.Outcome) ([]byte, bool) {
	line := Line{ID: item.ID, CustomID: item.CustomID}
	if out.Kind == batch.Done {
		line.Response = &Response{StatusCode: out.StatusCode, RequestID: out.RequestID, Body: body(out.Body)}
		if line.Response.StatusCode == 0 {
			line.Response.StatusCode = 200
		}
	} else {
		line.Error = failure(out)
	}
	data, err := json.Marshal(line)
	if err != nil {
		// Only strings and checked JSON are encoded.
		panic(err)
	}
	return append(data, '\n'), line.Error != nil
}

func body(data []byte) json.RawMessage {
	if json.Valid(data) {
		return data
	}
	text, _ := json.Marshal(string(data)) // strings always encode
	return text
}

func failure(out batch.Outcome) *Failure {
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
