package config

import "gentiantide.example/gentiantide/internal/config/strictjson"

// decoder decodes a settings file and collects its problems and warnings.
type decoder struct {
	file     string
	problems strictjson.Problems
	warnings strictjson.Problems
}

// warn adds a warning about a value that is accepted but likely wrong.
func (d *decoder) warn(n *strictjson.Node, path, message, expected string) {
	d.warnings = append(d.warnings, n.Problem(path, message, expected))
}

// reject adds a problem, which makes the file invalid.
func (d *decoder) reject(n *strictjson.Node, path, message, expected string) {
	d.problems = append(d.problems, n.Problem(path, message, expected))
}

// text returns the value of a string. Any other kind of value is rejected.
func (d *decoder) text(path string, n *strictjson.Node, expected string) (string, bool) {
	if n.Kind != strictjson.String {
		d.reject(n, path, "wrong type: "+string(n.Kind), expected)
		return "", false
	}
	return n.Text, true
}

// object decodes the members of an object. Unknown keys and missing required
// fields are rejected.
func (d *decoder) object(path string, n *strictjson.Node, fields []field) {
	if n.Kind != strictjson.Object {
		d.reject(n, path, "wrong type: "+string(n.Kind), "an object")
		return
	}
	byName := make(map[string]field)
	var known []string
	for _, f := range fields {
		byName[f.name] = f
		known = append(known, f.name)
		if f.required && n.Get(f.name) == nil {
			d.reject(n, strictjson.Join(path, f.name), "missing", "a value, because it has no default")
		}
	}
	for _, m := range n.Members {
		f, ok := byName[m.Name]
		if !ok {
			d.problems = append(d.problems, strictjson.UnknownKey(d.file, path, m, known))
			continue
		}
		f.decode(d, strictjson.Join(path, m.Name), m.Value)
	}
}
