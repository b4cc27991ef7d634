package client

import "time"

// Result is the outcome of one call.
type Result struct {
	// Status is the HTTP status, 0 if there was no response.
	Status int
	// Code, NotRun and Message are the fields of an error response. NotRun is
	// "true" or "unknown".
	Code    string
	NotRun  string
	Message string
	// Text is the output text received. Complete is set if the output ended with
	// a finish reason and, in a stream, the [DONE] event.
	Text     string
	Complete bool
	// Tokens is the number of chunks with text in a stream.
	Tokens int
	// FirstToken and Total are the times from the start of the call to the first
	// token, or to the end of a body that is not streamed, and to the end.
	FirstToken time.Duration
	Total      time.Duration
	// LongestGap is the longest time between two tokens.
	LongestGap time.Duration
	// Err is set if the call could not be sent or its response could not be read.
	Err error
	// Body is the body of a response that is not streamed.
	Body []byte
}

// OK reports whether the call succeeded with a complete output.
func (r *Result) OK() bool { return r.Status == 200 && r.Complete && r.Err == nil }
