package callers

import (
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/httpapi"
	"gentiantide.example/gentiantide/internal/intent"
)

// gate is asked directly before each send.
type gate = func() *core.Refusal

// outcome is what became of a request: an answer, or a refusal.
type outcome struct {
	answer  intent.Answer
	refusal *core.Refusal
	// written is set if the caller already has the answer or the refusal.
	written bool
}

// write gives the outcome to the caller.
func (x *exchange) write(o outcome) {
	if o.refusal != nil {
		x.note(o.refusal)
	}
	switch {
	case o.written:
	case o.refusal != nil:
		httpapi.WriteRefusal(x.w, o.refusal)
	default:
		x.writeAnswer(o.answer)
	}
}

func (x *exchange) writeAnswer(answer intent.Answer) {
	header := x.w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	x.w.WriteHeader(answer.Status)
	_, _ = x.w.Write(answer.Body)
}
