package client

import "time"

// Result is what became of one call.
type Result struct {
	// Status is the HTTP status; 0 if no answer came.
	Status int
	// Code and NotRun are those of a refusal; NotRun is "true" or "unknown".
	Code    string
	NotRun  string
	Message string
	// Text is the text received; Complete is set if the answer ended regularly.
	Text     string
	Complete bool
	Tokens   int
	// FirstToken and Total are measured from the start of the call.
	FirstToken time.Duration
	Total      time.Duration
	// LongestGap is the longest time between two tokens.
	LongestGap time.Duration
	Err        error
	Body       []byte
}

// OK reports whether the call was answered whole.
func (r *Result) OK() bool { return r.Status == 200 && r.Complete && r.Err == nil }
