package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"gentiantide.example/gentiantide/internal/config/strictjson"
)

// valueProblem describes why a value is invalid, and where it is in the input.
type valueProblem struct {
	node    *strictjson.Node
	message string
}

// parse checks a value and returns it as a bool, int, float64, time.Duration,
// string or []string.
func (k *Key) parse(n *strictjson.Node) (any, *valueProblem) {
	switch k.Type {
	case TypeBool:
		return k.parseBool(n)
	case TypeInt:
		return k.parseInt(n)
	case TypeNumber:
		return k.parseNumber(n)
	case TypeDuration:
		return k.parseDuration(n)
	case TypeStringList:
		return k.parseList(n)
	default:
		return k.parseString(n)
	}
}

func wrongType(n *strictjson.Node) *valueProblem {
	return &valueProblem{n, fmt.Sprintf("wrong type: %s", n.Kind)}
}

func outOfRange(n *strictjson.Node) *valueProblem {
	return &valueProblem{n, fmt.Sprintf("value %s is out of range", n.Text)}
}

func (k *Key) parseBool(n *strictjson.Node) (any, *valueProblem) {
	if n.Kind != strictjson.Bool {
		return nil, wrongType(n)
	}
	return n.Text == "true", nil
}

func (k *Key) parseInt(n *strictjson.Node) (any, *valueProblem) {
	if n.Kind != strictjson.Number {
		return nil, wrongType(n)
	}
	if strings.ContainsAny(n.Text, ".eE") {
		return nil, &valueProblem{n, fmt.Sprintf("wrong type: %s is not an integer", n.Text)}
	}
	v, err := strconv.ParseInt(n.Text, 10, 64)
	if err != nil || float64(v) < k.Min || float64(v) > k.Max {
		return nil, outOfRange(n)
	}
	return int(v), nil
}

func (k *Key) parseNumber(n *strictjson.Node) (any, *valueProblem) {
	if n.Kind != strictjson.Number {
		return nil, wrongType(n)
	}
	v, err := strconv.ParseFloat(n.Text, 64)
	if err != nil || math.IsNaN(v) || v < k.Min || v > k.Max {
		return nil, outOfRange(n)
	}
	return v, nil
}

func (k *Key) parseDuration(n *strictjson.Node) (any, *valueProblem) {
	if n.Kind == strictjson.Number {
		return nil, &valueProblem{n, fmt.Sprintf("wrong unit: %s has none", n.Text)}
	}
	if n.Kind != strictjson.String {
		return nil, wrongType(n)
	}
	if _, err := strconv.ParseFloat(n.Text, 64); err == nil {
		return nil, &valueProblem{n, fmt.Sprintf("wrong unit: %q has none", n.Text)}
	}
	d, err := time.ParseDuration(n.Text)
	if err != nil {
		return nil, &valueProblem{n, fmt.Sprintf("wrong unit or form: %q is not a duration", n.Text)}
	}
	if float64(d) < k.Min || float64(d) > k.Max {
		return nil, &valueProblem{n, fmt.Sprintf("value %q is out of range", n.Text)}
	}
	return d, nil
}

func (k *Key) parseString(n *strictjson.Node) (any, *valueProblem) {
	if n.Kind != strictjson.String {
		return nil, wrongType(n)
	}
	if len(k.Choices) > 0 && !slices.Contains(k.Choices, n.Text) {
		message := fmt.Sprintf("value %q is not accepted", n.Text)
		if near := strictjson.Nearest(n.Text, k.Choices); near != "" {
			message += fmt.Sprintf(", did you mean %q?", near)
		}
		return nil, &valueProblem{n, message}
	}
	if len(n.Text) > maxStringBytes {
		return nil, &valueProblem{n, fmt.Sprintf("value is too long: %d bytes", len(n.Text))}
	}
	if k.Pattern != nil && !k.Pattern.MatchString(n.Text) || k.Name == "route" && reservedRoute(n.Text) {
		return nil, &valueProblem{n, fmt.Sprintf("value %q is not accepted", n.Text)}
	}
	return n.Text, nil
}

func (k *Key) parseList(n *strictjson.Node) (any, *valueProblem) {
	if n.Kind != strictjson.Array {
		return nil, wrongType(n)
	}
	if len(n.Elements) > maxListElements {
		return nil, &valueProblem{n, fmt.Sprintf("list is too long: %d elements, at most %d", len(n.Elements), maxListElements)}
	}
	out := make([]string, 0, len(n.Elements))
	for _, e := range n.Elements {
		text, bad := k.parseString(e)
		if bad != nil {
			return nil, bad
		}
		if slices.Contains(out, text.(string)) {
			return nil, &valueProblem{e, fmt.Sprintf("value %q is given twice", e.Text)}
		}
		out = append(out, text.(string))
	}
	return out, nil
}

// reservedRoute reports whether a route overlaps the endpoints that every node
// serves to callers itself.
func reservedRoute(route string) bool {
	first, _, _ := strings.Cut(route[1:], "/")
	return first == "v1" || first == "healthz" || first == "readyz"
}

// encode returns a parsed value as canonical JSON.
func encode(value any) json.RawMessage {
	if d, ok := value.(time.Duration); ok {
		value = formatDuration(d)
	}
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // unreachable: all types of parsed values can be encoded
	}
	return raw
}

// formatDuration formats a duration like time.Duration.String, but without
// trailing zero units: "10m" instead of "10m0s".
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = text[:len(text)-2]
	}
	if strings.HasSuffix(text, "h0m") {
		text = text[:len(text)-2]
	}
	return text
}

// decode returns the Go value of canonical JSON, or the type's zero value if the
// JSON does not pass the checks.
func (k *Key) decode(raw json.RawMessage) any {
	node, problems := strictjson.Parse("", raw)
	if len(problems) == 0 {
		if value, bad := k.parse(node); bad == nil {
			return value
		}
	}
	return k.zeroValue()
}

// zeroValue returns the zero value of the key's type. It is the default of keys
// whose default does not pass the checks of set values, such as an empty "model".
func (k *Key) zeroValue() any {
	switch k.Type {
	case TypeBool:
		return false
	case TypeInt:
		return 0
	case TypeNumber:
		return 0.0
	case TypeDuration:
		return time.Duration(0)
	case TypeStringList:
		return []string(nil)
	default:
		return ""
	}
}
