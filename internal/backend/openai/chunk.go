package openai

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"unicode/utf8"
)

// chunk is the content of one server-sent event.
type chunk struct {
	index  int // token index; -1 if the chunk has no token
	text   string
	finish string // finish reason; "" unless this is the final chunk
	usage  *usage
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

type wireChunk struct {
	TokenIndex *int `json:"token_index"`
	Choices    []struct {
		Delta        *wireDelta `json:"delta"`
		Text         string     `json:"text"`
		FinishReason *string    `json:"finish_reason"`
	} `json:"choices"`
	Usage *usage          `json:"usage"`
	Error json.RawMessage `json:"error"`
}

type wireDelta struct {
	Content string `json:"content"`
}

// parseChunk parses the data of one event.
func parseChunk(data []byte) (chunk, error) {
	if c, ok := parseTokenChunkFast(data); ok {
		return c, nil
	}
	return parseChunkJSON(data)
}

// parseChunkJSON parses a chunk with encoding/json.
func parseChunkJSON(data []byte) (chunk, error) {
	var wire wireChunk
	if err := json.Unmarshal(data, &wire); err != nil {
		return chunk{}, fmt.Errorf("malformed chunk: %w", err)
	}
	if len(wire.Error) > 0 && !bytes.Equal(wire.Error, []byte("null")) {
		return chunk{}, fmt.Errorf("engine returned an error: %.200s", wire.Error)
	}
	c := chunk{index: -1, usage: wire.Usage}
	if wire.TokenIndex != nil {
		c.index = *wire.TokenIndex
	}
	if len(wire.Choices) > 0 {
		choice := wire.Choices[0]
		c.text = choice.Text
		if choice.Delta != nil {
			c.text = choice.Delta.Content
		}
		if choice.FinishReason != nil {
			c.finish = *choice.FinishReason
		}
	}
	return c, nil
}

var (
	idPrefix         = []byte(`{"id":"`)
	objectPrefix     = []byte(`,"object":"`)
	indexPrefix      = []byte(`,"token_index":`)
	chatPrefix       = []byte(`,"choices":[{"index":0,"delta":{"content":"`)
	chatSuffix       = []byte(`},"finish_reason":null}]}`)
	completionPrefix = []byte(`,"choices":[{"index":0,"text":"`)
	completionSuffix = []byte(`,"finish_reason":null}]}`)
)

// parseTokenChunkFast parses a token chunk that has exactly the usual fields and
// field order and contains no escapes; for any other chunk it returns false. It
// makes one allocation, for the text, where encoding/json makes a dozen.
func parseTokenChunkFast(data []byte) (chunk, bool) {
	rest, ok := bytes.CutPrefix(data, idPrefix)
	if !ok {
		return chunk{}, false
	}
	if _, rest, ok = parseUnescapedString(rest); !ok {
		return chunk{}, false
	}
	if rest, ok = bytes.CutPrefix(rest, objectPrefix); !ok {
		return chunk{}, false
	}
	if _, rest, ok = parseUnescapedString(rest); !ok {
		return chunk{}, false
	}
	if rest, ok = bytes.CutPrefix(rest, indexPrefix); !ok {
		return chunk{}, false
	}
	index, rest, ok := parseIndex(rest)
	if !ok {
		return chunk{}, false
	}
	suffix := chatSuffix
	tail, ok := bytes.CutPrefix(rest, chatPrefix)
	if !ok {
		suffix = completionSuffix
		if tail, ok = bytes.CutPrefix(rest, completionPrefix); !ok {
			return chunk{}, false
		}
	}
	text, rest, ok := parseUnescapedString(tail)
	if !ok || !bytes.Equal(rest, suffix) {
		return chunk{}, false
	}
	return chunk{index: index, text: string(text)}, true
}

// parseUnescapedString parses a JSON string without escapes. Data begins after
// the opening quote.
func parseUnescapedString(data []byte) (value, rest []byte, ok bool) {
	ascii := true
	for i, b := range data {
		switch {
		case b == '"':
			value = data[:i]
			return value, data[i+1:], ascii || utf8.Valid(value)
		case b == '\\', b < ' ':
			return nil, nil, false
		case b >= utf8.RuneSelf:
			ascii = false
		}
	}
	return nil, nil, false
}

// maxIndexDigits ensures that an index fits into an int.
const maxIndexDigits = 9

// parseIndex parses a non-negative JSON integer.
func parseIndex(data []byte) (value int, rest []byte, ok bool) {
	n := 0
	for n < len(data) && data[n] >= '0' && data[n] <= '9' {
		n++
	}
	if n == 0 || n > maxIndexDigits || (n > 1 && data[0] == '0') {
		return 0, nil, false
	}
	value, err := strconv.Atoi(string(data[:n]))
	return value, data[n:], err == nil
}
