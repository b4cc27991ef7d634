package settings

import (
	"fmt"
	"strings"
)

// Reference returns the Markdown table of all keys. docs/settings.md contains
// the same table.
func Reference() string {
	var b strings.Builder
	b.WriteString("| key | type | unit | range | default | set on | meaning |\n|---|---|---|---|---|---|---|\n")
	for i := range schema {
		k := &schema[i]
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | `%s` | %s | %s |\n",
			k.Name, k.Type, k.unitColumn(), strings.ReplaceAll(k.Range(), "|", "\\|"), k.Default, k.levelsColumn(), k.Help)
	}
	return b.String()
}

// unitColumn returns the accepted units of a duration or the unit of a number.
func (k *Key) unitColumn() string {
	switch {
	case k.Type == TypeDuration:
		return "ms, s, m, h"
	case k.Unit == "":
		return "-"
	default:
		return k.Unit
	}
}

// levelsColumn lists the nodes that may set the key.
func (k *Key) levelsColumn() string {
	var out []string
	for _, level := range k.Levels {
		switch {
		case level == NodeRoot:
			out = append(out, "`/`")
		case k.NotInherited:
			out = append(out, fmt.Sprintf("`/%s/...` (not inherited)", level))
		default:
			out = append(out, fmt.Sprintf("`/%s` and below", level))
		}
	}
	return strings.Join(out, ", ")
}
