package engine

import (
	"encoding/json"
	"fmt"
	"strings"
)

const (
	// maxOutputTokens is the maximum of max_tokens.
	maxOutputTokens = 200_000
	// defaultID is the id of requests without X-Request-Id.
	defaultID = "anonymous"
)

// Request is a request to generate the output for a prompt.
type Request struct {
	ID    string
	Model string
	// Prompt determines the output.
	Prompt string
	// MaxTokens is the length of the whole output, 0 for the default.
	MaxTokens int
	// ResumeFrom is the index of the first token to produce.
	ResumeFrom int
	// Generated is the text of the tokens before ResumeFrom.
	Generated string
	// Chat selects the response format of chat completions, Stream a streamed
	// response.
	Chat   bool
	Stream bool
}

type wireRequest struct {
	Model               string        `json:"model"`
	Messages            []wireMessage `json:"messages"`
	Prompt              *string       `json:"prompt"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	ResumeFrom          int           `json:"resume_from"`
	Generated           string        `json:"generated"`
}

type wireMessage struct {
	Role    string      `json:"role"`
	Content wireContent `json:"content"`
}

// wireContent is the text of a message. In JSON it is a string or an array of
// text parts.
type wireContent string

// UnmarshalJSON decodes a string, or joins the text parts of an array.
func (c *wireContent) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*c = wireContent(text)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return fmt.Errorf("content must be a string or an array of parts")
	}
	for _, part := range parts {
		if part.Type != "text" {
			return fmt.Errorf("content part type %q is not supported", part.Type)
		}
		*c += wireContent(part.Text)
	}
	return nil
}

// ParseRequest decodes and checks the body of a chat completion or completion
// request.
func ParseRequest(id string, chat bool, body []byte) (Request, error) {
	var wire wireRequest
	if err := json.Unmarshal(body, &wire); err != nil {
		return Request{}, err
	}
	req := Request{ID: id, Model: wire.Model, Chat: chat, Stream: wire.Stream, ResumeFrom: wire.ResumeFrom, Generated: wire.Generated}
	if req.ID == "" {
		req.ID = defaultID
	}
	prompt, err := wire.prompt(chat)
	if err != nil {
		return Request{}, err
	}
	req.Prompt = prompt
	for _, limit := range []*int{wire.MaxTokens, wire.MaxCompletionTokens} {
		if limit == nil {
			continue
		}
		if *limit < 1 || *limit > maxOutputTokens {
			return Request{}, fmt.Errorf("max_tokens must be from 1 to %d", maxOutputTokens)
		}
		req.MaxTokens = *limit
	}
	if req.ResumeFrom < 0 {
		return Request{}, fmt.Errorf("resume_from must not be negative")
	}
	return req, nil
}

func (w wireRequest) prompt(chat bool) (string, error) {
	if !chat {
		if w.Prompt == nil {
			return "", fmt.Errorf("prompt is required")
		}
		return *w.Prompt, nil
	}
	if len(w.Messages) == 0 {
		return "", fmt.Errorf("messages are required")
	}
	var b strings.Builder
	for _, m := range w.Messages {
		b.WriteString(m.Role + ": " + string(m.Content) + "\n")
	}
	return b.String(), nil
}
