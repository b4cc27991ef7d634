package orders

import (
	"strings"

	"gentiantide.example/gentiantide/internal/backend"
)

// modelName is a parsed entry of a load report: "model@version" or
// "model@version+adapter".
type modelName struct {
	model, version, adapter string
}

func parseModel(entry string) modelName {
	var m modelName
	entry, m.adapter, _ = strings.Cut(entry, "+")
	m.model, m.version, _ = strings.Cut(entry, "@")
	return m
}

func modelOf(o backend.Order) modelName {
	return modelName{model: o.Model, version: o.Version, adapter: o.Adapter}
}

// base returns the model without the adapter.
func (m modelName) base() modelName {
	m.adapter = ""
	return m
}

// String returns the name in the format of a load report.
func (m modelName) String() string {
	s := m.model + "@" + m.version
	if m.adapter != "" {
		s += "+" + m.adapter
	}
	return s
}
