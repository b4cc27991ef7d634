package workload

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"

	"github.com/pkg/errors"
)

// JobSpec describes a batch input file.
type JobSpec struct {
	Kind  Kind
	Model string
	Items int
	// MaxTokens replaces the lengths of the set; 0 keeps them.
	MaxTokens int
	// LongEvery makes every n-th item LongFactor times longer; 0: none.
	LongEvery  int
	LongFactor int
	// PoisonEvery makes every n-th item contain PoisonMarker; 0: none.
	PoisonEvery  int
	PoisonMarker string
}

// CustomID returns the id of the i-th item of a job.
func CustomID(i int) string { return fmt.Sprintf("item-%06d", i) }

// Poisoned reports whether the i-th item can never be done.
func (s JobSpec) Poisoned(i int) bool { return s.PoisonEvery > 0 && i%s.PoisonEvery == s.PoisonEvery-1 }

// File returns the JSONL file in the form of the batch API.
func (s JobSpec) File() ([]byte, error) {
	var out bytes.Buffer
	err := s.Write(&out)
	return out.Bytes(), err
}

// Write writes the JSONL file without holding it in memory.
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

// Body returns the body of the i-th item, made from a body of the set.
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

// AppendPrompt adds text to the prompt or to the last message of a body. The
// body's messages are copied, so a shared base stays as it is.
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
