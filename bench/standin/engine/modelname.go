package engine

import "strings"

// modelName is the parsed form of "model@version+adapter".
type modelName struct {
	model, version, adapter string
}

func parseModelName(s string) modelName {
	var m modelName
	s, m.adapter, _ = strings.Cut(s, "+")
	m.model, m.version, _ = strings.Cut(s, "@")
	return m
}

func (m modelName) String() string {
	s := m.model
	if m.version != "" {
		s += "@" + m.version
	}
	if m.adapter != "" {
		s += "+" + m.adapter
	}
	return s
}

// serves reports whether the loaded model m serves requests for the wanted one. A
// request without a version accepts any version.
func (m modelName) serves(wanted modelName) bool {
	return m.model == wanted.model && m.adapter == wanted.adapter &&
		(wanted.version == "" || m.version == wanted.version)
}
