package settings

import (
	"encoding/json"
	"fmt"
	"sort"

	"gentiantide.example/gentiantide/internal/config/strictjson"
)

// Values holds the values that a node itself sets, as canonical JSON by key.
type Values map[string]json.RawMessage

// clone returns a copy of the map. The values are shared.
func (v Values) clone() Values {
	out := make(Values, len(v))
	for key, raw := range v {
		out[key] = raw
	}
	return out
}

// sortedKeys returns the keys in ascending order.
func (v Values) sortedKeys() []string {
	out := make([]string, 0, len(v))
	for key := range v {
		out = append(out, key)
	}
	sort.Strings(out)
	return out
}

// parseValues checks a JSON object of keys and values for the node at path and
// returns the valid ones in canonical form, and the problems of the others.
func parseValues(path string, kind NodeKind, n *strictjson.Node) (Values, strictjson.Problems) {
	if n.Kind != strictjson.Object {
		return nil, strictjson.Problems{n.Problem(path, "wrong type: "+string(n.Kind), "an object of keys and values")}
	}
	values := make(Values, len(n.Members))
	var problems strictjson.Problems
	for _, m := range n.Members {
		key, problem := findKey(path, kind, n.File, m)
		if problem != nil {
			problems = append(problems, *problem)
			continue
		}
		value, bad := key.parse(m.Value)
		if bad != nil {
			problems = append(problems, bad.node.Problem(path+": "+key.Name, bad.message, key.Expected()))
			continue
		}
		values[key.Name] = encode(value)
	}
	return values, problems
}

// findKey returns the schema entry of a JSON member, or a problem if the key does
// not exist or the node cannot set it.
func findKey(path string, kind NodeKind, file string, m strictjson.Member) (*Key, *strictjson.Problem) {
	key, ok := schemaByName[m.Name]
	if !ok {
		p := strictjson.UnknownKey(file, path, m, keyNames(path, kind))
		return nil, &p
	}
	if !key.appliesTo(path, kind) {
		return nil, &strictjson.Problem{File: file, Position: m.Pos, Path: path,
			Message: fmt.Sprintf("key %q cannot be set here", m.Name), Expected: expectedLevels(key)}
	}
	return key, nil
}

// checkValues checks values that were read from a table row or received from a
// peer.
func checkValues(path string, values Values) error {
	kind, err := PathKind(path)
	if err != nil || len(values) == 0 {
		return err
	}
	raw, err := json.Marshal(values)
	if err != nil {
		return err
	}
	node, problems := strictjson.Parse("", raw)
	if len(problems) == 0 {
		_, problems = parseValues(path, kind, node)
	}
	return problems.Err()
}

// expectedLevels describes where a key may be set, for the "expected" part of a
// problem.
func expectedLevels(k *Key) string {
	text := "it on "
	for i, level := range k.Levels {
		if i > 0 {
			text += " or "
		}
		switch {
		case level == NodeRoot:
			text += RootPath
		case k.NotInherited:
			text += "a node below /" + string(level)
		default:
			text += "/" + string(level) + " and below"
		}
	}
	return text
}
