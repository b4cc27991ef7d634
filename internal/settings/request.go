package settings

import (
	"fmt"
	"regexp"
	"strconv"

	"gentiantide.example/gentiantide/internal/config/strictjson"
)

// ChangeRequest is the request body of a change.
type ChangeRequest struct {
	Change
	// DryRun requests the effects of the change without writing it.
	DryRun bool `json:"dry_run,omitempty"`
}

var requestKeys = []string{"path", "base_version", "set", "unset", "delete", "dry_run", "author"}

var authorPattern = regexp.MustCompile(`^[ -~]{1,128}$`)

// ParseChange parses and checks the request body of a change. The error is a
// strictjson.Problems that lists all problems.
func ParseChange(file string, data []byte) (ChangeRequest, error) {
	root, problems := strictjson.Parse(file, data)
	if root == nil {
		return ChangeRequest{}, problems
	}
	p := requestParser{file: file, problems: problems}
	out := p.parse(root)
	sortProblems(p.problems)
	return out, p.problems.Err()
}

// requestParser parses a ChangeRequest and collects its problems.
type requestParser struct {
	file     string
	problems strictjson.Problems
}

func (p *requestParser) addProblem(n *strictjson.Node, path, message, expected string) {
	p.problems = append(p.problems, n.Problem(path, message, expected))
}

func (p *requestParser) parse(root *strictjson.Node) ChangeRequest {
	var out ChangeRequest
	if root.Kind != strictjson.Object {
		p.addProblem(root, "", "wrong type: "+string(root.Kind), "an object")
		return out
	}
	for _, m := range root.Members {
		p.member(&out, m)
	}
	for _, key := range []string{"path", "base_version"} {
		if root.Get(key) == nil {
			p.addProblem(root, key, "missing", "the path and the version of the node that the change is based on (0 for a new node)")
		}
	}
	if set := root.Get("set"); set != nil {
		if kind, err := PathKind(out.Path); err == nil {
			values, bad := parseValues(out.Path, kind, set)
			out.Set, p.problems = values, append(p.problems, bad...)
		}
	}
	return out
}

func (p *requestParser) member(out *ChangeRequest, m strictjson.Member) {
	switch m.Name {
	case "path":
		out.Path = p.text(m)
		if _, err := PathKind(out.Path); err != nil {
			p.addProblem(m.Value, m.Name, err.Error(), "")
		}
	case "base_version":
		out.BaseVersion = p.version(m)
	case "set":
	case "unset":
		out.Unset = p.keyList(m)
	case "delete":
		out.Delete = p.bool(m)
	case "dry_run":
		out.DryRun = p.bool(m)
	case "author":
		out.Author = p.text(m)
		if !authorPattern.MatchString(out.Author) {
			p.addProblem(m.Value, m.Name, "value is not accepted", "1 to 128 printable ASCII characters")
		}
	default:
		p.problems = append(p.problems, strictjson.UnknownKey(p.file, "", m, requestKeys))
	}
}

func (p *requestParser) text(m strictjson.Member) string {
	if m.Value.Kind != strictjson.String {
		p.addProblem(m.Value, m.Name, "wrong type: "+string(m.Value.Kind), "a string")
		return ""
	}
	return m.Value.Text
}

func (p *requestParser) bool(m strictjson.Member) bool {
	if m.Value.Kind != strictjson.Bool {
		p.addProblem(m.Value, m.Name, "wrong type: "+string(m.Value.Kind), "true or false")
	}
	return m.Value.Text == "true"
}

func (p *requestParser) version(m strictjson.Member) uint64 {
	v, err := strconv.ParseUint(m.Value.Text, 10, 64)
	if m.Value.Kind != strictjson.Number || err != nil {
		p.addProblem(m.Value, m.Name, "value is not a version", "an integer, 0 or more")
	}
	return v
}

func (p *requestParser) keyList(m strictjson.Member) []string {
	if m.Value.Kind != strictjson.Array {
		p.addProblem(m.Value, m.Name, "wrong type: "+string(m.Value.Kind), "a list of keys")
		return nil
	}
	var out []string
	for i, e := range m.Value.Elements {
		if _, ok := schemaByName[e.Text]; e.Kind != strictjson.String || !ok {
			member := strictjson.Member{Name: e.Text, Pos: e.Pos, Value: e}
			known := make([]string, 0, len(schema))
			for j := range schema {
				known = append(known, schema[j].Name)
			}
			p.problems = append(p.problems, strictjson.UnknownKey(p.file, fmt.Sprintf("unset[%d]", i), member, known))
			continue
		}
		out = append(out, e.Text)
	}
	return out
}
