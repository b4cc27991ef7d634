package settings

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against accepting invalid values, and against errors that do not name
// the position and the reason.
func TestDocumentRefusals(t *testing.T) {
	tests := []struct{ name, document, want string }{
		{"syntax", "{\n  \"/\": {", `f:2:9: syntax error: parsing value: unexpected EOF`},
		{"invalid UTF-8", "{\n \"/\xff\": 1}", `f:2:4: invalid UTF-8`},
		{"too deep", "{\"/\": " + strings.Repeat("[", 40) + "\n", `f:1:38: values are nested too deeply; expected at most 32 levels`},
		{"no object", "[1]", `f:1:1: wrong type: array; expected an object of paths`},
		{"node no object", `{"/": 3}`, `f:1:7: /: wrong type: number; expected an object of keys and values`},
		{"outside the tree", `{"/service/x": {}}`, `f:1:2: /service/x: path "/service/x" is outside the tree`},
		{"bad segment", `{"/services/a b": {}}`, `f:1:2: /services/a b: path "/services/a b" has the invalid segment "a b"`},
		{"unknown key", "{\n  \"/\": {\n    \"online.deadlin\": \"3s\"}}", `f:3:5: /: unknown key "online.deadlin", did you mean "online.deadline"?; expected one of auth.required, online.deadline`},
		{"wrong level", `{"/services/x": {"org.weight": 2}}`, `f:1:18: /services/x: key "org.weight" cannot be set here; expected it on / or /organisations and below`},
		{"own key on a group", `{"/organisations": {"org.key_sha256": []}}`, `f:1:21: /organisations: key "org.key_sha256" cannot be set here; expected it on a node below /organisations`},
		{"duplicate key", `{"/": {"retry.budget": 0, "retry.budget": 1}}`, `f:1:27: /: retry.budget: duplicate key "retry.budget", first given at line 1, column 8`},
		{"no unit", `{"/": {"online.deadline": 30}}`, `f:1:27: /: online.deadline: wrong unit: 30 has none; expected a duration with its unit (ms, s, m, h) from 10ms to 1h`},
		{"no unit in string", `{"/": {"online.deadline": "30"}}`, `f:1:27: /: online.deadline: wrong unit: "30" has none`},
		{"wrong unit", `{"/": {"online.deadline": "30MiB"}}`, `f:1:27: /: online.deadline: wrong unit or form: "30MiB" is not a duration`},
		{"duration out of range", `{"/": {"hedge.after": "-1s"}}`, `f:1:23: /: hedge.after: value "-1s" is out of range`},
		{"wrong type", `{"/": {"auth.required": "yes"}}`, `f:1:25: /: auth.required: wrong type: string; expected true or false`},
		{"null", `{"/": {"retry.budget": null}}`, `f:1:24: /: retry.budget: wrong type: null; expected a number from 0 to 1`},
		{"fraction", `{"/": {"retry.max_attempts": 2.5}}`, `f:1:30: /: retry.max_attempts: wrong type: 2.5 is not an integer; expected an integer from 1 to 10`},
		{"out of range", `{"/": {"retry.max_attempts": 11}}`, `f:1:30: /: retry.max_attempts: value 11 is out of range`},
		{"huge number", `{"/": {"eject.ratio": 1e999}}`, `f:1:23: /: eject.ratio: value 1e999 is out of range`},
		{"choice", `{"/services/x": {"kind": "modle"}}`, `f:1:26: /services/x: kind: value "modle" is not accepted, did you mean "model"?; expected a string, one of model, plain`},
		{"reserved route", `{"/services/x": {"route": "/v1/x/"}}`, `f:1:27: /services/x: route: value "/v1/x/" is not accepted`},
		{"list element", "{\"/services/x\": {\"route.non_idempotent\": [\"POST /a\",\n \"post /b\"]}}", `f:2:2: /services/x: route.non_idempotent: value "post /b" is not accepted`},
		{"list twice", `{"/services/x": {"route.non_idempotent": ["POST /a", "POST /a"]}}`, `f:1:54: /services/x: route.non_idempotent: value "POST /a" is given twice`},
		{"after a comment", "/* é */ {\"/\": // c\n\t{\"drain\": true}}", `f:2:3: /: key "drain" cannot be set here; expected it on a node below /fleet`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, err := ParseDocument("f", []byte(test.document))
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(err.Error()).To(gomega.HavePrefix(test.want))
		})
	}
}

// Guards against version numbers and durations that must be quoted on a command
// line, and against values that inject further keys.
func TestParseAssignment(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, test := range [][3]string{
		{"engine.model_version", "2", `"2"`}, {"engine.model_version", `"2"`, `"2"`}, {"eject.duration", "1m30s", `"1m30s"`},
		{"hedge.after", `60000ms`, `"1m"`}, {"batch.enabled", "false", `false`}, {"retry.budget", "0.50", `0.5`}, {"engine.role", "", `""`},
	} {
		raw, err := ParseAssignment("/", test[0], test[1])
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(raw)).To(gomega.Equal(test[2]))
	}
	_, err := ParseAssignment("/", "retry.budget", "0.5, \"hedge.after\": 3")
	g.Expect(err).To(gomega.HaveOccurred())
}

// Guards against a check that stops at the first problem, and against problems
// that are not listed in input order.
func TestDocumentListsAllProblems(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := ParseDocument("f", []byte("{\"/x\": {},\n\"/\": {\"kind\": 1, \"retry.budget\": 2,\n\"retry.budget\": 3}}"))
	g.Expect(strings.Split(err.Error(), "\n")).To(gomega.HaveLen(4))
	g.Expect(err.Error()).To(gomega.MatchRegexp(`(?s)^f:1:2: .*\nf:2:7: .*\nf:2:34: .*\nf:3:1: `))
}

// Guards against panics of the parser, and against canonical values of accepted
// documents that are refused or changed when they are parsed again.
func FuzzParseDocument(f *testing.F) {
	for _, seed := range []string{
		`{"/": {"online.deadline": "1.5h", "retry.budget": 1e-3}}`, `{"/services/a": {"kind": "plain", "route": "/a/"}}`,
		"{\"/\": {\"a\": [[[{\"b\": \"\\ud800\"}]]]}} // x", `{"/organisations/o": {"org.key_sha256": ["` + strings.Repeat("a0", 32) + `"]}}`,
		"\"\xff\"", strings.Repeat("[", 100), "/*", `{"/":{"x":1,}`, "",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = ParseChange("f", data)
		nodes, err := ParseDocument("f", data)
		if err != nil {
			_ = err.Error()
			return
		}
		for _, n := range nodes {
			for key, raw := range n.Set {
				again, err := ParseAssignment(n.Path, key, string(raw))
				if err != nil || string(again) != string(raw) {
					t.Fatalf("%s %s: %s became %s, %v", n.Path, key, raw, again, err)
				}
			}
		}
	})
}
