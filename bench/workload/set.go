package workload

import (
	"bytes"
	"embed"
	"encoding/json"

	"github.com/pkg/errors"
)

//go:embed data/*.jsonl
var files embed.FS

// Kind names one part of the set.
type Kind string

// The parts of the set.
const (
	Couplets      Kind = "couplets"
	CardLines     Kind = "card_lines"
	RuleQuestions Kind = "rule_questions"
	PermitLetters Kind = "permit_letters"
	Permits       Kind = "permits"
)

// Bodies returns the JSON request bodies of a part.
func Bodies(kind Kind) ([]map[string]any, error) {
	data, err := files.ReadFile("data/" + string(kind) + ".jsonl")
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", kind)
	}
	var out []map[string]any
	for _, line := range bytes.Split(bytes.TrimSpace(data), []byte("\n")) {
		var body map[string]any
		if err := json.Unmarshal(line, &body); err != nil {
			return nil, errors.Wrapf(err, "%s: line %d", kind, len(out)+1)
		}
		out = append(out, body)
	}
	return out, nil
}

// MeanTokens returns the mean answer length of a part's bodies.
func MeanTokens(bodies []map[string]any) float64 {
	sum := 0.0
	for _, body := range bodies {
		tokens, _ := body["max_tokens"].(float64)
		sum += tokens
	}
	return sum / float64(len(bodies))
}

// Path returns the API path that a part's bodies are sent to.
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
