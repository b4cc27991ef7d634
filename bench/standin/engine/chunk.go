package engine

import (
	"encoding/json"
	"strconv"
)

// chunker formats the SSE chunks of one stream. The field order is fixed:
// id, object, token_index, choices.
type chunker struct {
	seq    *Sequence
	before []byte // up to the token index
	middle []byte // between the index and the text
	after  []byte // behind the text
}

func newChunker(seq *Sequence) *chunker {
	c := &chunker{seq: seq}
	id, _ := json.Marshal(seq.ID)
	object := `"text_completion"`
	middle, after := `,"choices":[{"index":0,"text":"`, `","finish_reason":null}]}`
	if seq.Chat {
		object = `"chat.completion.chunk"`
		middle, after = `,"choices":[{"index":0,"delta":{"content":"`, `"},"finish_reason":null}]}`
	}
	c.before = append(c.before, `data: {"id":`...)
	c.before = append(c.before, id...)
	c.before = append(c.before, `,"object":`+object+`,"token_index":`...)
	c.middle = []byte(middle)
	c.after = []byte(after + "\n\n")
	return c
}

// token appends the chunk of token i.
func (c *chunker) token(dst []byte, i int) []byte {
	dst = append(dst, c.before...)
	dst = strconv.AppendInt(dst, int64(i), 10)
	dst = append(dst, c.middle...)
	dst = AppendToken(dst, c.seq.hash, i)
	return append(dst, c.after...)
}

// end appends the final chunk and the end mark.
func (c *chunker) end(dst []byte) []byte {
	final := map[string]any{
		"id":     c.seq.ID,
		"object": "text_completion",
		"choices": []any{map[string]any{
			"index": 0, "text": "", "finish_reason": c.seq.finishReason(),
		}},
		"usage": c.seq.usage(),
	}
	if c.seq.Chat {
		final["object"] = "chat.completion.chunk"
		final["choices"] = []any{map[string]any{
			"index": 0, "delta": map[string]any{}, "finish_reason": c.seq.finishReason(),
		}}
	}
	data, _ := json.Marshal(final)
	dst = append(dst, "data: "...)
	dst = append(dst, data...)
	return append(dst, "\n\ndata: [DONE]\n\n"...)
}

// usage is the OpenAI token count of a complete answer.
func (s *Sequence) usage() map[string]int {
	return map[string]int{
		"prompt_tokens":     s.promptTokens,
		"completion_tokens": s.Length,
		"total_tokens":      s.promptTokens + s.Length,
	}
}
