package callers

import (
	"strconv"

	"gentiantide.example/gentiantide/internal/relay"
)

// responseEncoder encodes the response to one generation request as JSON, in the
// format of the OpenAI API.
type responseEncoder struct {
	chat    bool
	id      string
	model   string
	created int64 // Unix seconds
}

// appendObjectStart appends the beginning of a response object, up to its choices.
func (e responseEncoder) appendObjectStart(dst []byte, object string) []byte {
	dst = append(dst, `{"id":`...)
	dst = appendJSONString(dst, e.id)
	dst = append(dst, `,"object":"`...)
	dst = append(dst, object...)
	dst = append(dst, `","created":`...)
	dst = strconv.AppendInt(dst, e.created, 10)
	dst = append(dst, `,"model":`...)
	dst = appendJSONString(dst, e.model)
	return append(dst, `,"choices":[`...)
}

func (e responseEncoder) chunkObject() string {
	if e.chat {
		return "chat.completion.chunk"
	}
	return "text_completion"
}

// tokenChunk returns the parts of an event before and after a token's text.
func (e responseEncoder) tokenChunk() (before, after []byte) {
	before = e.appendObjectStart([]byte("data: "), e.chunkObject())
	if e.chat {
		return append(before, `{"index":0,"delta":{"content":`...), []byte(`},"finish_reason":null}]}` + "\n\n")
	}
	return append(before, `{"index":0,"text":`...), []byte(`,"logprobs":null,"finish_reason":null}]}` + "\n\n")
}

// appendRoleChunk appends the first event of a chat stream.
func (e responseEncoder) appendRoleChunk(dst []byte) []byte {
	dst = e.appendObjectStart(append(dst, "data: "...), e.chunkObject())
	return append(dst, `{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}`+"\n\n"...)
}

// appendFinishChunk appends the event with the finish reason.
func (e responseEncoder) appendFinishChunk(dst []byte, reason string) []byte {
	dst = e.appendObjectStart(append(dst, "data: "...), e.chunkObject())
	if e.chat {
		dst = append(dst, `{"index":0,"delta":{},"finish_reason":`...)
	} else {
		dst = append(dst, `{"index":0,"text":"","logprobs":null,"finish_reason":`...)
	}
	return append(appendJSONString(dst, reason), "}]}\n\n"...)
}

// appendUsageChunk appends the event that stream_options.include_usage requests.
func (e responseEncoder) appendUsageChunk(dst []byte, result relay.Result) []byte {
	dst = e.appendObjectStart(append(dst, "data: "...), e.chunkObject())
	return append(appendUsage(append(dst, ']'), result), "}\n\n"...)
}

// appendComplete appends a complete response, as opposed to a streamed one.
func (e responseEncoder) appendComplete(dst []byte, result relay.Result) []byte {
	if e.chat {
		dst = e.appendObjectStart(dst, "chat.completion")
		dst = append(dst, `{"index":0,"message":{"role":"assistant","content":`...)
		dst = append(appendJSONString(dst, result.Text), `},"finish_reason":`...)
	} else {
		dst = e.appendObjectStart(dst, "text_completion")
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
