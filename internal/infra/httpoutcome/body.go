package httpoutcome

import "encoding/json"

// The codes in the body of an error answer.
const (
	CodeNotFound = "not_found"
	CodeConflict = "conflict"
)

// Body is the body of an error answer.
type Body struct {
	Error Detail `json:"error"`
}

// Detail is what an error answer says.
type Detail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func detail(body []byte) Detail {
	var b Body
	if json.Unmarshal(body, &b) != nil {
		return Detail{}
	}
	return b.Error
}
