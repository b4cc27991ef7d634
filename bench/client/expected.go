package client

import (
	"fmt"

	"gentiantide.example/gentiantide/bench/standin/engine"
)

// Expected returns the output of a stand-in engine for a request body with
// max_tokens. It depends only on the prompt and max_tokens.
func Expected(body map[string]any) string {
	tokens := 0
	switch n := body["max_tokens"].(type) {
	case float64:
		tokens = int(n)
	case int:
		tokens = n
	}
	if prompt, ok := body["prompt"].(string); ok {
		return engine.OutputText(prompt, tokens)
	}
	var prompt string
	for _, m := range body["messages"].([]any) {
		message := m.(map[string]any)
		prompt += fmt.Sprintf("%s: %s\n", message["role"], message["content"])
	}
	return engine.OutputText(prompt, tokens)
}
