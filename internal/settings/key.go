package settings

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ValueType names the type of a key's values in messages and the reference page.
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

// Key is the definition of one settings key.
type Key struct {
	Name string    `json:"name"`
	Type ValueType `json:"type"`
	// Unit is the unit of a number, for example "requests". The values of
	// durations include their unit, so Unit is empty for them.
	Unit string `json:"unit,omitempty"`
	// Min and Max are the inclusive bounds of integers, numbers and durations
	// (in nanoseconds).
	Min float64 `json:"min"`
	Max float64 `json:"max"`
	// Default is the canonical JSON of the value that applies if no node sets one.
	Default string `json:"default"`
	// Levels are the node kinds that may set the key.
	Levels []NodeKind `json:"levels"`
	// NotInherited is set for keys that apply to one entity only: they may be set
	// only at the entity's own node, and its descendants do not inherit them.
	NotInherited bool `json:"own,omitempty"`
	// Choices lists the accepted strings; empty means no restriction.
	Choices []string `json:"choices,omitempty"`
	// Pattern must match a string value, or each element of a list. Form
	// describes the pattern to operators.
	Pattern *regexp.Regexp `json:"-"`
	Form    string         `json:"form,omitempty"`
	// Help describes the key on the reference page.
	Help string `json:"help"`

	// decodedDefault is the Go value of Default.
	decodedDefault any
}

// appliesTo reports whether the node at path, of the given kind, may set the key.
func (k *Key) appliesTo(path string, kind NodeKind) bool {
	return slices.Contains(k.Levels, kind) && !(k.NotInherited && isFixed(path))
}

// Expected describes the accepted values for an error message.
func (k *Key) Expected() string {
	switch k.Type {
	case TypeBool:
		return "true or false"
	case TypeInt, TypeNumber:
		text := fmt.Sprintf("%s from %s", typePhrase(k.Type), k.Range())
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

// Range describes the accepted values without their type, as on the reference page.
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

func typePhrase(t ValueType) string {
	if t == TypeInt {
		return "an integer"
	}
	return "a number"
}
