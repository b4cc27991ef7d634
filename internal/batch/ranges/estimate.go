package ranges

import (
	"encoding/json"
)

// EstimateTokens estimates the run time of an item in output tokens: the longest
// output it allows, plus a fraction of its input, which is processed much faster.
func EstimateTokens(body json.RawMessage) int {
	const (
		bytesPerToken   = 4
		promptShare     = 16 // prompt tokens that cost as much as one output token
		defaultMaxToken = 256
	)
	var limits struct {
		MaxTokens           int `json:"max_tokens"`
		MaxCompletionTokens int `json:"max_completion_tokens"`
	}
	// If the limits have another type, the estimate uses the length of the body and
	// the default limit.
	_ = json.Unmarshal(body, &limits)
	out := max(limits.MaxTokens, limits.MaxCompletionTokens)
	if out <= 0 {
		out = defaultMaxToken
	}
	return out + len(body)/bytesPerToken/promptShare
}
