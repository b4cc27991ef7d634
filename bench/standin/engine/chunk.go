package engine

import (
	"encoding/json"
	"strconv"
)

// chunker formats the SSE chunks of one stream. It copies the constant parts of
// a chunk instead of encoding each chunk as JSON. The field order is fixed: id,
// object, token_index, choices.
type chunker struct {
	seq    *Sequence
	prefix []byte // before the token index
	infix  []byte // between the token index and the text
	suffix []byte // after the text
}

func newChunker(seq *Sequence) *chunker {
	c := &chunker{seq: seq}
	id, _ := json.Marshal(seq.ID)
	object := `"text_completion"`
	infix, suffix := `,"choices":[{"index":0,"text":"`, `","finish_reason":null}]}`
	if seq.Chat {
		object = `"chat.completion.chunk"`
		infix, suffix = `,"choices":[{"index":0,"delta":{"content":"`, `"},"finish_reason":null}]}`
	}
	c.prefix = append(c.prefix, `data: {"id":`...)
	c.prefix = append(c.prefix, id...)
	c.prefix = append(c.prefix, `,"object":`+object+`,"token_index":`...)
	c.infix = []byte(infix)
	c.suffix = []byte(suffix + "\n\n")
	return c
}

// appendToken appends the chunk of token i.
func (c *chunker) appendToken(dst []byte, i int) []byte {
	dst = append(dst, c.prefix...)
	dst = strconv.AppendInt(dst, int64(i), 10)
	dst = append(dst, c.infix...)
	dst = AppendToken(dst, c.seq.hash, i)
	return append(dst, c.suffix...)
}

// appendEnd appends the final chunk and the [DONE] event.
func (c *chunker) appendEnd(dst []byte) []byte {
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

// usage returns the usage object of the OpenAI API for a complete output.
func (s *Sequence) usage() map[string]int {
	return map[string]int{
		"prompt_tokens":     s.promptTokens,
		"completion_tokens": s.Length,
		"total_tokens":      s.promptTokens + s.Length,
	}
}
