package callers

import (
	"strconv"

	"gentiantide.example/gentiantide/internal/relay"
)

// genForm writes the JSON of the answers to one request.
type genForm struct {
	chat    bool
	id      string
	model   string
	created int64 // Unix seconds
}

// appendHead appends the beginning of an object up to its choices.
func (f genForm) appendHead(dst []byte, object string) []byte {
	dst = append(dst, `{"id":`...)
	dst = appendJSONString(dst, f.id)
	dst = append(dst, `,"object":"`...)
	dst = append(dst, object...)
	dst = append(dst, `","created":`...)
	dst = strconv.AppendInt(dst, f.created, 10)
	dst = append(dst, `,"model":`...)
	dst = appendJSONString(dst, f.model)
	return append(dst, `,"choices":[`...)
}

func (f genForm) chunkObject() string {
	if f.chat {
		return "chat.completion.chunk"
	}
	return "text_completion"
}

// tokenChunk returns what goes before and after a token's text in an event.
func (f genForm) tokenChunk() (before, after []byte) {
	before = f.appendHead([]byte("data: "), f.chunkObject())
	if f.chat {
		return append(before, `{"index":0,"delta":{"content":`...), []byte(`},"finish_reason":null}]}` + "\n\n")
	}
	return append(before, `{"index":0,"text":`...), []byte(`,"logprobs":null,"finish_reason":null}]}` + "\n\n")
}

// appendRoleChunk appends the first event of a chat stream.
func (f genForm) appendRoleChunk(dst []byte) []byte {
	dst = f.appendHead(append(dst, "data: "...), f.chunkObject())
	return append(dst, `{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}`+"\n\n"...)
}

// appendFinishChunk appends the event with the finish reason.
func (f genForm) appendFinishChunk(dst []byte, reason string) []byte {
	dst = f.appendHead(append(dst, "data: "...), f.chunkObject())
	if f.chat {
		dst = append(dst, `{"index":0,"delta":{},"finish_reason":`...)
	} else {
		dst = append(dst, `{"index":0,"text":"","logprobs":null,"finish_reason":`...)
	}
	return append(appendJSONString(dst, reason), "}]}\n\n"...)
}

// appendUsageChunk appends the event that stream_options asks for.
func (f genForm) appendUsageChunk(dst []byte, result relay.Result) []byte {
	dst = f.appendHead(append(dst, "data: "...), f.chunkObject())
	return append(appendUsage(append(dst, ']'), result), "}\n\n"...)
}

// appendWhole appends a whole answer.
func (f genForm) appendWhole(dst []byte, result relay.Result) []byte {
	if f.chat {
		dst = f.appendHead(dst, "chat.completion")
		dst = append(dst, `{"index":0,"message":{"role":"assistant","content":`...)
		dst = append(appendJSONString(dst, result.Text), `},"finish_reason":`...)
	} else {
		dst = f.appendHead(dst, "text_completion")
		dst = append(dst, `{"index":0,"text":`...)
		dst = append(appendJSONString(dst, result.Text), `,"logprobs":null,"finish_reason":`...)
	}
	dst = append(appendJSONString(dst, result.FinishReason), `}]`...)
	return append(appendUsage(dst, result), "}\n"...)
}

func appendUsage(dst []byte, result relay.Result) []byte {
	dst = append(dst, `,"usage":{"prompt_tokens":`...)
	dst = strconv.AppendInt(dst, int64(result.PromptTokens), 10)
	dst = append(dst, `,"completion_tokens":`...)
	dst = strconv.AppendInt(dst, int64(result.Tokens), 10)
	dst = append(dst, `,"total_tokens":`...)
	dst = strconv.AppendInt(dst, int64(result.PromptTokens+result.Tokens), 10)
	return append(dst, '}')
}
