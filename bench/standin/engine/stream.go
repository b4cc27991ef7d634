package engine

import (
	"net/http"

	"gentiantide.example/gentiantide/bench/standin/httpkit"
)

// respond sends the output of a sequence: token by token if the request asked for
// a stream, otherwise as one body at the end.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, seq *Sequence) {
	defer s.Engine.Cancel(seq)
	if seq.Stream {
		s.stream(w, r, seq)
		return
	}
	for !seq.ended() {
		s.waitForChange(r, seq)
	}
	if !seq.Completed() {
		httpkit.Drop()
	}
	httpkit.WriteJSON(w, http.StatusOK, seq.responseBody())
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, seq *Sequence) {
	cut := s.cutIndex(seq)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	if flush() != nil {
		return
	}
	chunks := newChunker(seq)
	var buf []byte
	for sent := seq.ResumeFrom; ; {
		ended := seq.ended() // read before Produced, so that no token is missed
		produced := min(seq.Produced(), cut)
		buf = buf[:0]
		for ; sent < produced; sent++ {
			buf = chunks.appendToken(buf, sent)
		}
		if ended && seq.Completed() && sent == seq.Length {
			buf = chunks.appendEnd(buf)
		}
		if len(buf) > 0 {
			// Errors are ignored: waitForChange detects a closed connection, unless
			// the fault plan has DeferClose.
			_, _ = w.Write(buf)
			_ = flush()
		}
		switch {
		case sent == cut && cut < seq.Length, ended && !seq.Completed():
			httpkit.Drop()
		case ended:
			return
		}
		s.waitForChange(r, seq)
	}
}

// waitForChange waits until the sequence has new tokens or has ended. It cancels
// the sequence if the caller closes the connection.
func (s *Server) waitForChange(r *http.Request, seq *Sequence) {
	callerGone := r.Context().Done()
	if s.Fault.Get().DeferClose {
		callerGone = nil
	}
	select {
	case <-seq.Changed():
	case <-callerGone:
		s.Engine.Cancel(seq)
	}
}

// cutIndex returns the token index at which the fault plan interrupts the stream,
// or the length of the output if it does not.
func (s *Server) cutIndex(seq *Sequence) int {
	fault := s.Fault.Get()
	if fault.CutAfter <= 0 || (fault.CutShare > 0 && !s.Engine.rnd.Chance(fault.CutShare)) {
		return seq.Length
	}
	return min(seq.ResumeFrom+fault.CutAfter, seq.Length)
}

// responseBody returns the body of a response that is not streamed.
func (s *Sequence) responseBody() map[string]any {
	var text []byte
	for i := s.ResumeFrom; i < s.Length; i++ {
		text = AppendToken(text, s.hash, i)
	}
	choice := map[string]any{"index": 0, "finish_reason": s.finishReason()}
	object := "text_completion"
	if s.Chat {
		object = "chat.completion"
		choice["message"] = map[string]string{"role": "assistant", "content": string(text)}
	} else {
		choice["text"] = string(text)
	}
	return map[string]any{
		"id": s.ID, "object": object, "model": s.Model,
		"choices": []any{choice}, "usage": s.usage(),
	}
}
