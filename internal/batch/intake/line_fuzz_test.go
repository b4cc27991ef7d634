package intake

import (
	"encoding/json"
	"strings"
	"testing"
)

// No line must make the parser panic, and every accepted item must be sendable and
// keep its content when it is encoded again.
func FuzzParseLine(f *testing.F) {
	for _, seed := range []string{
		`{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"m"}}`,
		`{"custom_id":"a","method":"POST","url":"/v1/x","body": {} }`,
		`{"custom_id":"a","method":"POST","url":"/v1/x","body":"{"}`,
		`{"custom_id":"a","method":"POST","url":"/v1/x","body":null}`,
		`{"custom_id":"a","custom_id":"b","method":"POST","url":"/","body":{},"body":{"x":1}}`,
		`{"CUSTOM_ID":"a","method":"POST","url":"//h/x","body":{}}`,
		`{"custom_id":"a","method":"POST","url":"/v1/x\r\nHost: y","body":{}}`,
		`[]`, `null`, `{}`, ``, "\xef\xbb\xbf{}", `{"custom_id":1}`,
		"{\"custom_id\":\"\xff\",\"method\":\"POST\",\"url\":\"/\xff\",\"body\":{\"a\":\"\xff\"}}",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		line, err := ParseLine(data)
		if err != nil {
			return
		}
		var body map[string]json.RawMessage
		if err := json.Unmarshal(line.Body, &body); err != nil {
			t.Fatalf("body of %s: %v", data, err)
		}
		if line.CustomID == "" || !strings.HasPrefix(line.URL, "/") || strings.ContainsAny(line.URL, "\r\n") {
			t.Fatalf("%q is accepted as %+v", data, line)
		}
		encoded, err := json.Marshal(line)
		if err != nil {
			t.Fatalf("%+v: %v", line, err)
		}
		again, err := ParseLine(encoded)
		if err != nil || again.CustomID != line.CustomID || again.URL != line.URL {
			t.Fatalf("%s became %+v, %v", encoded, again, err)
		}
	})
}
