package settings

import (
	"encoding/json"
	"sort"

	"gentiantide.example/gentiantide/internal/config/strictjson"
)

// DocumentNode is one path of a settings document and the values to set there.
type DocumentNode struct {
	Path string
	Set  Values
}

// ParseDocument parses and checks a document {"/path": {"key": value, ...}, ...}
// and returns its nodes sorted by path, parents first. The error is a
// strictjson.Problems that lists all problems of the document.
func ParseDocument(file string, data []byte) ([]DocumentNode, error) {
	root, problems := strictjson.Parse(file, data)
	if root == nil {
		return nil, problems
	}
	if root.Kind != strictjson.Object {
		return nil, append(problems, root.Problem("", "wrong type: "+string(root.Kind), "an object of paths"))
	}
	var out []DocumentNode
	for _, m := range root.Members {
		kind, err := PathKind(m.Name)
		if err != nil {
			problems = append(problems, strictjson.Problem{File: file, Position: m.Pos, Path: m.Name, Message: err.Error()})
			continue
		}
		values, bad := parseValues(m.Name, kind, m.Value)
		problems = append(problems, bad...)
		out = append(out, DocumentNode{Path: m.Name, Set: values})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Path < out[j].Path })
	sortProblems(problems)
	return out, problems.Err()
}

// ParseAssignment parses and checks one "key=value" of a command line. A value
// that is not JSON, or an unquoted value of a string key, is read as a string,
// so that durations and versions need no quotes.
func ParseAssignment(path, key, value string) (json.RawMessage, error) {
	raw := []byte(value)
	k := schemaByName[key]
	if !json.Valid(raw) || k != nil && k.Type == TypeString && value[0] != '"' {
		raw, _ = json.Marshal(value)
	}
	name, _ := json.Marshal(key)
	kind, err := PathKind(path)
	if err != nil {
		return nil, err
	}
	node, problems := strictjson.Parse("", []byte("{"+string(name)+":"+string(raw)+"}"))
	if node == nil {
		return nil, problems
	}
	values, problems := parseValues(path, kind, node)
	for i := range problems {
		problems[i].Position = strictjson.Position{}
	}
	return values[key], problems.Err()
}

// sortProblems sorts problems by their position in the input.
func sortProblems(problems strictjson.Problems) {
	sort.SliceStable(problems, func(i, j int) bool {
		a, b := problems[i], problems[j]
		return a.Line < b.Line || a.Line == b.Line && a.Column < b.Column
	})
}
