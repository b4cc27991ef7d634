package openai

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"testing"
	"testing/iotest"

	"gentiantide.example/gentiantide/internal/backend"
)

// Guards against event streams that make the reader panic, that count as complete
// although they end early, or that yield other tokens when the bytes arrive one
// at a time.
func FuzzStream(f *testing.F) {
	const token = `data: {"id":"a","object":"chat.completion.chunk","token_index":0,"choices":[{"index":0,"delta":{"content":"hé"},"finish_reason":null}]}` + "\n\n"
	const end = `data: {"id":"a","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":1}}` + "\n\ndata: [DONE]\n\n"
	for _, seed := range []string{
		token + end, token + token + end, token, end, token + "data: [DONE]\n", ": comment\r\ndata:\r\n", "data: {}\n", "data: null\n",
		`data: {"token_index":-5,"choices":[{"text":"x"}]}` + "\n", `data: {"error":{"message":"x"}}` + "\n", "data: [DONE]",
		`data: {"token_index":0,"usage":{"completion_tokens":-1},"choices":[{"finish_reason":"stop"}]}` + "\ndata: [DONE]\n",
	} {
		f.Add([]byte(seed))
	}
	read := func(r io.Reader) (tokens []backend.Token, err error) {
		s := &stream{body: io.NopCloser(bytes.NewReader(nil)), cancel: context.CancelFunc(func() {}), eventReader: newEventReader(r)}
		for {
			token, err := s.Next()
			if err != nil {
				return tokens, err
			}
			tokens = append(tokens, token)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		tokens, err := read(bytes.NewReader(data))
		if err == io.EOF && !bytes.Contains(data, doneMarker) {
			t.Fatal("a stream without a [DONE] marker is treated as complete")
		}
		for i, token := range tokens {
			if token.Index != i {
				t.Fatalf("token %d has index %d", i, token.Index)
			}
		}
		again, againErr := read(iotest.OneByteReader(bytes.NewReader(data)))
		if len(again) != len(tokens) || (err == io.EOF) != (againErr == io.EOF) {
			t.Fatalf("%d tokens and error %v; one byte at a time: %d tokens and error %v", len(tokens), err, len(again), againErr)
		}
	})
}

// Guards against a fast parser that parses a chunk differently from
// encoding/json or accepts invalid JSON.
func FuzzParseChunk(f *testing.F) {
	f.Add([]byte(`{"id":"a","object":"chat.completion.chunk","token_index":7,"choices":[{"index":0,"delta":{"content":"hé"},"finish_reason":null}]}`))
	f.Add([]byte(`{"id":"a","object":"text_completion","token_index":0,"choices":[{"index":0,"text":"x","finish_reason":null}]}`))
	f.Add([]byte("{\"id\":\"\xff\",\"object\":\"x\",\"token_index\":0,\"choices\":[{\"index\":0,\"text\":\"\xff\",\"finish_reason\":null}]}"))
	f.Add([]byte(`{"token_index":1e3,"choices":[]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		fast, ok := parseTokenChunkFast(data)
		if !ok {
			_, _ = parseChunkJSON(data)
			return
		}
		slow, err := parseChunkJSON(data)
		if err != nil || fast != slow {
			t.Fatalf("%s: fast parser %+v, encoding/json %+v, error %v", data, fast, slow, err)
		}
		if !json.Valid(data) {
			t.Fatalf("invalid JSON %s is accepted", data)
		}
	})
}
