package httpoutcome

import "encoding/json"

// Error codes in the body of an error response.
const (
	CodeNotFound = "not_found"
	CodeConflict = "conflict"
)

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes the error in an error response.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// errorDetail decodes the body of an error response. It returns the zero
// ErrorDetail if the body is not an ErrorBody.
func errorDetail(body []byte) ErrorDetail {
	var b ErrorBody
	if json.Unmarshal(body, &b) != nil {
		return ErrorDetail{}
	}
	return b.Error
}
