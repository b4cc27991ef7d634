package operators

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/config/strictjson"
	"gentiantide.example/gentiantide/internal/core"
)

// errorBody is the JSON body of every error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    string    `json:"type"`
	Code    core.Code `json:"code"`
	Message string    `json:"message"`
	// NotRun is true if the request certainly was not run, else "unknown".
	NotRun any `json:"not_run"`
	// Problems lists all problems of a refused request body.
	Problems strictjson.Problems `json:"problems,omitempty"`
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		writeRefusal(w, core.Fail(core.CodeInternal, "response cannot be encoded: "+err.Error()))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

func writeRefusal(w http.ResponseWriter, r *core.Refusal) {
	writeDetail(w, r, nil)
}

// writeProblems refuses a request whose body or query is invalid.
func writeProblems(w http.ResponseWriter, err error) {
	var problems strictjson.Problems
	errors.As(err, &problems)
	writeDetail(w, core.Refuse(core.CodeInvalidRequest, err.Error()), problems)
}

func writeDetail(w http.ResponseWriter, r *core.Refusal, problems strictjson.Problems) {
	status := r.HTTPStatus()
	errorType := "invalid_request_error"
	if status >= http.StatusInternalServerError {
		errorType = "server_error"
	}
	var notRun any = "unknown"
	if r.Execution == core.NotRun {
		notRun = true
	}
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(max(1, int(r.RetryAfter.Seconds()))))
	}
	writeJSON(w, status, errorBody{errorDetail{Type: errorType, Code: r.Code, Message: r.Message, NotRun: notRun, Problems: problems}})
}
