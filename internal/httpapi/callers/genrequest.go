package callers

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
)

// prefixBytes is the length of the beginning of the prompt text that is hashed for
// prefix affinity.
const prefixBytes = 256

// genRequest is a parsed generation request.
type genRequest struct {
	path           string
	model          string
	stream         bool
	includeUsage   bool
	expectedTokens int
	prefixHash     uint64
	// body is the request for the engine: all fields, including unknown ones,
	// except relayFields.
	body []byte
}

// relayFields are set by the relay or its engine adapter, so those of the caller
// are removed.
var relayFields = []string{"stream", "stream_options", "resume_from"}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// parseGeneration parses a generation request and checks the fields that
// gentiantide uses itself.
func parseGeneration(path string, body []byte) (genRequest, *core.Refusal) {
	req := genRequest{path: path}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return req, invalidRequest("the request body must be a JSON object: %v", err)
	}
	if fields == nil {
		return req, invalidRequest("the request body must be a JSON object")
	}
	var count, maxTokens, maxCompletion int
	var options streamOptions
	for _, f := range []struct {
		name, want string
		target     any
	}{
		{"model", "a string", &req.model},
		{"stream", "true or false", &req.stream},
		{"stream_options", "an object", &options},
		{"n", "1", &count},
		{"max_tokens", "a positive integer", &maxTokens},
		{"max_completion_tokens", "a positive integer", &maxCompletion},
	} {
		if err := decodeField(fields, f.name, f.target); err != nil {
			return req, invalidRequest("%q must be %s", f.name, f.want)
		}
	}
	switch {
	case req.model == "":
		return req, invalidRequest(`"model" is missing`)
	case present(fields, "n") && count != 1:
		return req, invalidRequest(`"n" must be 1`)
	case present(fields, "max_tokens") && maxTokens < 1:
		return req, invalidRequest(`"max_tokens" must be a positive integer`)
	case present(fields, "max_completion_tokens") && maxCompletion < 1:
		return req, invalidRequest(`"max_completion_tokens" must be a positive integer`)
	}
	req.expectedTokens = max(maxTokens, maxCompletion)
	req.includeUsage = options.IncludeUsage
	prompt, refusal := promptPrefix(path, fields)
	if refusal != nil {
		return req, refusal
	}
	req.prefixHash = xxhash.Sum64(prompt)
	for _, name := range relayFields {
		delete(fields, name)
	}
	req.body, _ = json.Marshal(fields) // raw messages that were just decoded always encode
	return req, nil
}

// promptPrefix checks the prompt and returns the first prefixBytes of its text.
func promptPrefix(path string, fields map[string]json.RawMessage) ([]byte, *core.Refusal) {
	if path == pathChat {
		return messagesPrefix(fields)
	}
	raw, ok := fields["prompt"]
	if !ok || isNull(raw) {
		return nil, invalidRequest(`"prompt" is missing`)
	}
	var text string
	if json.Unmarshal(raw, &text) != nil {
		switch raw[0] {
		case '[':
			text = string(raw)
		default:
			return nil, invalidRequest(`"prompt" must be a string or an array`)
		}
	}
	return truncate([]byte(text)), nil
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func messagesPrefix(fields map[string]json.RawMessage) ([]byte, *core.Refusal) {
	var messages []message
	if err := json.Unmarshal(fields["messages"], &messages); err != nil || len(messages) == 0 {
		return nil, invalidRequest(`"messages" must be a non-empty array of objects with "role" and "content"`)
	}
	var prefix []byte
	for i, m := range messages {
		if m.Role == "" {
			return nil, invalidRequest(`"messages" entry %d has no "role"`, i)
		}
		if len(prefix) >= prefixBytes {
			continue
		}
		var text string
		if json.Unmarshal(m.Content, &text) != nil {
			text = string(m.Content)
		}
		prefix = append(prefix, m.Role...)
		prefix = append(prefix, '\n')
		prefix = append(prefix, text...)
		prefix = append(prefix, '\n')
	}
	return truncate(prefix), nil
}

func truncate(text []byte) []byte { return text[:min(len(text), prefixBytes)] }

func decodeField(fields map[string]json.RawMessage, name string, target any) error {
	if !present(fields, name) {
		return nil
	}
	return json.Unmarshal(fields[name], target)
}

// present reports whether a field is present and not null.
func present(fields map[string]json.RawMessage, name string) bool {
	raw, ok := fields[name]
	return ok && !isNull(raw)
}

func isNull(raw json.RawMessage) bool { return bytes.Equal(raw, []byte("null")) }

func invalidRequest(format string, args ...any) *core.Refusal {
	return core.Refuse(core.CodeInvalidRequest, fmt.Sprintf(format, args...))
}
