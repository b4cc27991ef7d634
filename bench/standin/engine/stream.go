package engine

import (
	"net/http"

	"gentiantide.example/gentiantide/bench/standin/httpkit"
)

// answer sends the tokens of a sequence as they are produced, or the whole
// answer at the end.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, seq *Sequence) {
	defer s.Engine.Cancel(seq)
	if seq.Stream {
		s.stream(w, r, seq)
		return
	}
	for !seq.ended() {
		s.await(r, seq)
	}
	if !seq.Completed() {
		httpkit.Drop()
	}
	httpkit.WriteJSON(w, http.StatusOK, seq.whole())
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, seq *Sequence) {
	cut := s.cut(seq)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	if flush() != nil {
		return
	}
	chunks := newChunker(seq)
	var buf []byte
	for sent := seq.ResumeFrom; ; {
		ended := seq.ended() // before Produced, so that no token is missed
		produced := min(seq.Produced(), cut)
		buf = buf[:0]
		for ; sent < produced; sent++ {
			buf = chunks.token(buf, sent)
		}
		if ended && seq.Completed() && sent == seq.Length {
			buf = chunks.end(buf)
		}
		if len(buf) > 0 {
			// A caller that left is noticed by await, which can be told not to.
			_, _ = w.Write(buf)
			_ = flush()
		}
		switch {
		case sent == cut && cut < seq.Length, ended && !seq.Completed():
			httpkit.Drop()
		case ended:
			return
		}
		s.await(r, seq)
	}
}

// await waits for a change and cancels the sequence when the caller has left.
func (s *Server) await(r *http.Request, seq *Sequence) {
	left := r.Context().Done()
	if s.Fault.Get().DeferClose {
		left = nil
	}
	select {
	case <-seq.Changed():
	case <-left:
		s.Engine.Cancel(seq)
	}
}

// cut returns the token index at which a commanded fault breaks the stream.
func (s *Server) cut(seq *Sequence) int {
	fault := s.Fault.Get()
	if fault.CutAfter <= 0 || (fault.CutShare > 0 && !s.Engine.dice.Hit(fault.CutShare)) {
		return seq.Length
	}
	return min(seq.ResumeFrom+fault.CutAfter, seq.Length)
}

// whole returns the body of an answer that is not streamed.
func (s *Sequence) whole() map[string]any {
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
