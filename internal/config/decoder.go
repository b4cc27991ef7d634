package config

import "gentiantide.example/gentiantide/internal/config/strictjson"

// decoder collects the problems of a file.
type decoder struct {
	file     string
	problems strictjson.Problems
	warnings strictjson.Problems
}

// warn notes a value that is accepted but likely wrong.
func (d *decoder) warn(n *strictjson.Node, path, message, expected string) {
	d.warnings = append(d.warnings, n.Problem(path, message, expected))
}

func (d *decoder) refuse(n *strictjson.Node, path, message, expected string) {
	d.problems = append(d.problems, n.Problem(path, message, expected))
}

func (d *decoder) text(path string, n *strictjson.Node, expected string) (string, bool) {
	if n.Kind != strictjson.String {
		d.refuse(n, path, "wrong type: "+string(n.Kind), expected)
		return "", false
	}
	return n.Text, true
}

func (d *decoder) object(path string, n *strictjson.Node, fields []field) {
	if n.Kind != strictjson.Object {
		d.refuse(n, path, "wrong type: "+string(n.Kind), "an object")
		return
	}
	byName := make(map[string]field)
	var known []string
	for _, f := range fields {
		byName[f.name] = f
		known = append(known, f.name)
		if f.required && n.Get(f.name) == nil {
			d.refuse(n, strictjson.Join(path, f.name), "missing", "a value, it has no default")
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
