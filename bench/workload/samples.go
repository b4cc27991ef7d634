package workload

import (
	"bytes"
	"embed"
	"encoding/json"

	"github.com/pkg/errors"
)

//go:embed data/*.jsonl
var files embed.FS

// Kind is a kind of sample requests.
type Kind string

// The kinds of sample requests. Couplets and card lines are completions, rule
// questions and permit letters chat completions, and permits calls of the permit
// desk, a plain service.
const (
	Couplets      Kind = "couplets"
	CardLines     Kind = "card_lines"
	RuleQuestions Kind = "rule_questions"
	PermitLetters Kind = "permit_letters"
	Permits       Kind = "permits"
)

// Bodies returns the JSON bodies of the sample requests of a kind.
func Bodies(kind Kind) ([]map[string]any, error) {
	data, err := files.ReadFile("data/" + string(kind) + ".jsonl")
	if err != nil {
		return nil, errors.Wrapf(err, "read sample requests %s", kind)
	}
	var out []map[string]any
	for _, line := range bytes.Split(bytes.TrimSpace(data), []byte("\n")) {
		var body map[string]any
		if err := json.Unmarshal(line, &body); err != nil {
			return nil, errors.Wrapf(err, "decode sample requests %s: line %d", kind, len(out)+1)
		}
		out = append(out, body)
	}
	return out, nil
}

// MeanTokens returns the mean of max_tokens over the bodies.
func MeanTokens(bodies []map[string]any) float64 {
	sum := 0.0
	for _, body := range bodies {
		tokens, _ := body["max_tokens"].(float64)
		sum += tokens
	}
	return sum / float64(len(bodies))
}

// Path returns the API path to which requests of a kind are sent.
func Path(kind Kind) string {
	switch kind {
	case RuleQuestions, PermitLetters:
		return "/v1/chat/completions"
	case Permits:
		return "/permit-desk/issue"
	default:
		return "/v1/completions"
	}
}
