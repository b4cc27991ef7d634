package workload

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"

	"github.com/pkg/errors"
)

// JobSpec describes the input file of a batch job.
type JobSpec struct {
	Kind  Kind
	Model string
	// Items is the number of items. The sample requests are used in turn.
	Items int
	// MaxTokens replaces the max_tokens of the sample requests; 0 keeps them.
	MaxTokens int
	// LongEvery multiplies max_tokens of every n-th item by LongFactor; 0: none.
	LongEvery  int
	LongFactor int
	// PoisonEvery appends PoisonMarker to the prompt of every n-th item, so that
	// a stand-in engine with this fault fails it; 0: none.
	PoisonEvery  int
	PoisonMarker string
}

// CustomID returns the custom_id of the i-th item of a job.
func CustomID(i int) string { return fmt.Sprintf("item-%06d", i) }

// Poisoned reports whether the i-th item contains PoisonMarker and fails on every
// attempt.
func (s JobSpec) Poisoned(i int) bool { return s.PoisonEvery > 0 && i%s.PoisonEvery == s.PoisonEvery-1 }

// File returns the input file in the JSONL format of the batch API.
func (s JobSpec) File() ([]byte, error) {
	var out bytes.Buffer
	err := s.Write(&out)
	return out.Bytes(), err
}

// Write writes the input file without holding it in memory.
func (s JobSpec) Write(out io.Writer) error {
	bodies, err := Bodies(s.Kind)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(out)
	for i := range s.Items {
		line := map[string]any{
			"custom_id": CustomID(i), "method": "POST", "url": Path(s.Kind),
			"body": s.Body(bodies[i%len(bodies)], i),
		}
		if err := encoder.Encode(line); err != nil {
			return errors.Wrap(err, "encode item")
		}
	}
	return nil
}

// Body returns the request body of the i-th item, based on a sample request. Its
// prompt differs for each i.
func (s JobSpec) Body(base map[string]any, i int) map[string]any {
	body := maps.Clone(base)
	body["model"] = s.Model
	suffix := fmt.Sprintf(" (%d)", i)
	if s.Poisoned(i) {
		suffix += " " + s.PoisonMarker
	}
	AppendPrompt(body, suffix)
	if s.MaxTokens > 0 {
		body["max_tokens"] = float64(s.MaxTokens)
	}
	if s.LongEvery > 0 && i%s.LongEvery == s.LongEvery-1 {
		body["max_tokens"] = body["max_tokens"].(float64) * float64(s.LongFactor)
	}
	return body
}

// AppendPrompt appends text to the prompt or to the last message of a body. It
// copies the messages, so that a body that shares them does not change.
func AppendPrompt(body map[string]any, text string) {
	if prompt, ok := body["prompt"].(string); ok {
		body["prompt"] = prompt + text
		return
	}
	messages := append([]any(nil), body["messages"].([]any)...)
	last := maps.Clone(messages[len(messages)-1].(map[string]any))
	last["content"] = last["content"].(string) + text
	messages[len(messages)-1] = last
	body["messages"] = messages
}
