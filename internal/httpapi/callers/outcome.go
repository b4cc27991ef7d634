package callers

import (
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/httpapi"
	"gentiantide.example/gentiantide/internal/intent"
)

// gate is called directly before each send; a refusal prevents the send.
type gate = func() *core.Refusal

// outcome is the result of a request: a response or a refusal.
type outcome struct {
	response intent.Response
	refusal  *core.Refusal
	// written is set if the response or the refusal has already been written to the
	// caller.
	written bool
}

// write records a refusal and writes the outcome to the caller unless that has
// already been done.
func (x *exchange) write(o outcome) {
	if o.refusal != nil {
		x.recordRefusal(o.refusal)
	}
	switch {
	case o.written:
	case o.refusal != nil:
		httpapi.WriteRefusal(x.w, o.refusal)
	default:
		x.writeResponse(o.response)
	}
}

func (x *exchange) writeResponse(response intent.Response) {
	header := x.w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	x.w.WriteHeader(response.Status)
	_, _ = x.w.Write(response.Body)
}
