package settings

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ValueType is the type of a key's values.
type ValueType string

// The types of values.
const (
	TypeBool       ValueType = "boolean"
	TypeInt        ValueType = "integer"
	TypeNumber     ValueType = "number"
	TypeDuration   ValueType = "duration"
	TypeString     ValueType = "string"
	TypeStringList ValueType = "list of strings"
)

// Key is one entry of the schema.
type Key struct {
	Name string    `json:"name"`
	Type ValueType `json:"type"`
	// Unit is what one counts, for example "requests"; durations carry theirs.
	Unit string `json:"unit,omitempty"`
	// Min and Max bound integers and numbers, and durations in nanoseconds.
	Min float64 `json:"min"`
	Max float64 `json:"max"`
	// Default is the canonical JSON of the value in force when none is set.
	Default string `json:"default"`
	// Levels are the node kinds that may set the key.
	Levels []NodeKind `json:"levels"`
	// Own is set for keys that name one entity: they are set on its own node
	// and are not inherited.
	Own bool `json:"own,omitempty"`
	// Choices lists the accepted strings, if only some are.
	Choices []string `json:"choices,omitempty"`
	// Pattern is what a string must match; Form describes it.
	Pattern *regexp.Regexp `json:"-"`
	Form    string         `json:"form,omitempty"`
	// Help is one sentence for the reference page.
	Help string `json:"help"`

	// fallback is the decoded default.
	fallback any
}

// appliesTo reports whether a node at the path may set the key.
func (k *Key) appliesTo(path string, kind NodeKind) bool {
	return slices.Contains(k.Levels, kind) && !(k.Own && isFixed(path))
}

// Expected says which values the key takes.
func (k *Key) Expected() string {
	switch k.Type {
	case TypeBool:
		return "true or false"
	case TypeInt, TypeNumber:
		text := fmt.Sprintf("%s from %s", article(k.Type), k.Range())
		if k.Unit != "" {
			text += " (" + k.Unit + ")"
		}
		return text
	case TypeDuration:
		return fmt.Sprintf("a duration with its unit (ms, s, m, h) from %s, for example \"1.4s\"", k.Range())
	case TypeStringList:
		return "a list of strings, each " + k.Range()
	default:
		return "a string, " + k.Range()
	}
}

// Range says which values of the type are accepted.
func (k *Key) Range() string {
	switch k.Type {
	case TypeBool:
		return "true, false"
	case TypeInt, TypeNumber:
		return fmt.Sprintf("%s to %s", formatNumber(k.Min), formatNumber(k.Max))
	case TypeDuration:
		return formatDuration(time.Duration(k.Min)) + " to " + formatDuration(time.Duration(k.Max))
	}
	if len(k.Choices) > 0 {
		return "one of " + strings.Join(k.Choices, ", ")
	}
	return k.Form
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

func article(t ValueType) string {
	if t == TypeInt {
		return "an integer"
	}
	return "a number"
}
