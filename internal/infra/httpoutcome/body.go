package httpoutcome

import "encoding/json"

// Error codes in the body of an error response.
const (
	CodeNotFound = "not_found"
	CodeConflict = "conflict"
)

// Body is the JSON body of an error response.
type Body struct {
	Error Detail `json:"error"`
}

// Detail describes the error in an error response.
type Detail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// errorDetail decodes the body of an error response. It returns the zero Detail if
// the body is not of that form.
func errorDetail(body []byte) Detail {
	var b Body
	if json.Unmarshal(body, &b) != nil {
		return Detail{}
	}
	return b.Error
}
