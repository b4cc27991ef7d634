package httpoutcome

import "encoding/json"

// The codes in the body of an error answer.
const (
	CodeNotFound = "not_found"
	CodeConflict = "conflict"
)

// ErrorBody is the body of an error answer.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is what an error answer says.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func detail(body []byte) ErrorDetail {
	var b ErrorBody
	if json.Unmarshal(body, &b) != nil {
		return ErrorDetail{}
	}
	return b.Error
}
