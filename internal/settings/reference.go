package settings

import (
	"fmt"
	"strings"
)

// Reference returns the table of all keys as it stands in docs/settings.md.
func Reference() string {
	var b strings.Builder
	b.WriteString("| key | type | unit | range | default | set on | meaning |\n|---|---|---|---|---|---|---|\n")
	for i := range schema {
		k := &schema[i]
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | `%s` | %s | %s |\n",
			k.Name, k.Type, k.unit(), strings.ReplaceAll(k.Range(), "|", "\\|"), k.Default, k.places(), k.Help)
	}
	return b.String()
}

func (k *Key) unit() string {
	switch {
	case k.Type == TypeDuration:
		return "ms, s, m, h"
	case k.Unit == "":
		return "-"
	default:
		return k.Unit
	}
}

// places names the nodes that may set the key.
func (k *Key) places() string {
	var out []string
	for _, level := range k.Levels {
		switch {
		case level == NodeRoot:
			out = append(out, "`/`")
		case k.Own:
			out = append(out, fmt.Sprintf("`/%s/...` (not inherited)", level))
		default:
			out = append(out, fmt.Sprintf("`/%s` and below", level))
		}
	}
	return strings.Join(out, ", ")
}
