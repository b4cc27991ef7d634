package openai

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"unicode/utf8"
)

// chunk is what one server-sent event says.
type chunk struct {
	index  int // of the token; -1 if the chunk has none
	text   string
	finish string // finish reason; "" before the end
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

// parseChunk reads the data of one event.
func parseChunk(data []byte) (chunk, error) {
	if c, ok := parseTokenChunk(data); ok {
		return c, nil
	}
	return parseAnyChunk(data)
}

// parseAnyChunk reads a chunk of any field order.
func parseAnyChunk(data []byte) (chunk, error) {
	var wire wireChunk
	if err := json.Unmarshal(data, &wire); err != nil {
		return chunk{}, fmt.Errorf("malformed chunk: %w", err)
	}
	if len(wire.Error) > 0 && !bytes.Equal(wire.Error, []byte("null")) {
		return chunk{}, fmt.Errorf("engine reports an error: %.200s", wire.Error)
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
	beforeID     = []byte(`{"id":"`)
	beforeObject = []byte(`,"object":"`)
	beforeIndex  = []byte(`,"token_index":`)
	chatBefore   = []byte(`,"choices":[{"index":0,"delta":{"content":"`)
	chatAfter    = []byte(`},"finish_reason":null}]}`)
	plainBefore  = []byte(`,"choices":[{"index":0,"text":"`)
	plainAfter   = []byte(`,"finish_reason":null}]}`)
)

// parseTokenChunk reads a token chunk with exactly the usual field order and
// without escapes. It makes one allocation, for the text, where encoding/json
// makes a dozen.
func parseTokenChunk(data []byte) (chunk, bool) {
	rest, ok := bytes.CutPrefix(data, beforeID)
	if !ok {
		return chunk{}, false
	}
	if _, rest, ok = simpleString(rest); !ok {
		return chunk{}, false
	}
	if rest, ok = bytes.CutPrefix(rest, beforeObject); !ok {
		return chunk{}, false
	}
	if _, rest, ok = simpleString(rest); !ok {
		return chunk{}, false
	}
	if rest, ok = bytes.CutPrefix(rest, beforeIndex); !ok {
		return chunk{}, false
	}
	index, rest, ok := number(rest)
	if !ok {
		return chunk{}, false
	}
	after := chatAfter
	chat, ok := bytes.CutPrefix(rest, chatBefore)
	if !ok {
		after = plainAfter
		if chat, ok = bytes.CutPrefix(rest, plainBefore); !ok {
			return chunk{}, false
		}
	}
	text, rest, ok := simpleString(chat)
	if !ok || !bytes.Equal(rest, after) {
		return chunk{}, false
	}
	return chunk{index: index, text: string(text)}, true
}

// simpleString reads a JSON string without escapes after its opening quote.
func simpleString(data []byte) (value, rest []byte, ok bool) {
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

// maxDigits keeps an index within an int.
const maxDigits = 9

// number reads a JSON integer that is not negative.
func number(data []byte) (value int, rest []byte, ok bool) {
	n := 0
	for n < len(data) && data[n] >= '0' && data[n] <= '9' {
		n++
	}
	if n == 0 || n > maxDigits || (n > 1 && data[0] == '0') {
		return 0, nil, false
	}
	value, err := strconv.Atoi(string(data[:n]))
	return value, data[n:], err == nil
}
