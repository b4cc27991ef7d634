package ranges

import (
	"encoding/json"
)

// Expected estimates how long an item runs, in tokens: the answer it may give
// plus a share of its input, which is processed much faster than output.
func Expected(body json.RawMessage) int {
	const (
		bytesPerToken   = 4
		promptShare     = 16 // prompt tokens that cost as much as one output token
		defaultMaxToken = 256
	)
	var limits struct {
		MaxTokens           int `json:"max_tokens"`
		MaxCompletionTokens int `json:"max_completion_tokens"`
	}
	// A body with limits of another type is judged by its length alone.
	_ = json.Unmarshal(body, &limits)
	out := max(limits.MaxTokens, limits.MaxCompletionTokens)
	if out <= 0 {
		out = defaultMaxToken
	}
	return out + len(body)/bytesPerToken/promptShare
}
