package intake

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// Line is an input line: the request of one item.
type Line struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// ParseLine decodes and validates an input line. Its errors are shown to the caller.
func ParseLine(data []byte) (Line, error) {
	var line Line
	if err := json.Unmarshal(data, &line); err != nil {
		return line, fmt.Errorf("not a valid JSON object: %w", err)
	}
	switch {
	case line.CustomID == "":
		return line, fmt.Errorf("custom_id is missing")
	case line.Method != "POST":
		return line, fmt.Errorf("method is %q, expected \"POST\"", line.Method)
	case !strings.HasPrefix(line.URL, "/"):
		return line, fmt.Errorf("url is %q, expected a path such as \"/v1/chat/completions\"", line.URL)
	case strings.ContainsFunc(line.URL, invalidInURL):
		return line, fmt.Errorf("url is %q, which has spaces or control characters", line.URL)
	case !bytes.HasPrefix(line.Body, []byte("{")):
		return line, fmt.Errorf("body is missing or not a JSON object")
	}
	return line, nil
}

// invalidInURL reports whether a character is not allowed in an HTTP request line.
// Without this check, such an item would fail only when it is sent.
func invalidInURL(r rune) bool { return r <= ' ' || r == 0x7f }
