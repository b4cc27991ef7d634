package config

import (
	"fmt"
	"log/slog"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"

	"gentiantide.example/gentiantide/internal/config/strictjson"
	"gentiantide.example/gentiantide/internal/core"
)

// field describes one key of an object and how its value is decoded.
type field struct {
	name     string
	required bool
	decode   func(d *decoder, path string, n *strictjson.Node)
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// minTimeout and maxTimeout bound every duration of the file.
const (
	minTimeout = 10 * time.Millisecond
	maxTimeout = time.Minute
)

// minMemoryMB and maxMemoryMB bound the memory of a VM.
const (
	minMemoryMB = 64
	maxMemoryMB = 1 << 20
)

// fields returns the schema of the settings file. Decoding stores into n.
func (n *Node) fields() []field {
	return []field{
		{"id", true, name(func(v string) { n.ID = core.NodeID(v) })},
		{"data_centre", true, name(func(v string) { n.DataCentre = core.DataCentre(v) })},
		{"region", true, name(func(v string) { n.Region = core.Region(v) })},
		{"listen", true, object([]field{
			{"callers", true, address(&n.Listen.Callers)},
			{"operators", true, address(&n.Listen.Operators)},
			{"peers", true, address(&n.Listen.Peers)},
		})},
		{"operators", false, object([]field{
			{"token_sha256", false, tokenDigests(&n.Operators.TokenDigests)},
			{"open", false, boolean(&n.Operators.Open)},
		})},
		{"platform", true, object([]field{
			{"table", true, baseURL(&n.Platform.Table)},
			{"objects", true, baseURL(&n.Platform.Objects)},
			{"weights", true, baseURL(&n.Platform.Weights)},
			{"fleet", true, baseURL(&n.Platform.Fleet)},
		})},
		{"peer_secret_file", false, secretFile(&n.PeerSecrets)},
		{"seeds", false, addresses(&n.Seeds)},
		{"memory_mb", false, memory(&n.MemoryBytes)},
		{"log_level", false, logLevel(&n.LogLevel)},
		{"timeouts", false, object([]field{
			{"connect", false, duration(&n.Timeouts.Connect)},
			{"table", false, duration(&n.Timeouts.Table)},
			{"objects", false, duration(&n.Timeouts.Objects)},
			{"weights", false, duration(&n.Timeouts.Weights)},
			{"fleet", false, duration(&n.Timeouts.Fleet)},
			{"stop_grace", false, duration(&n.Timeouts.StopGrace)},
		})},
	}
}

// object returns the decoder of an object with the given fields.
func object(fields []field) func(*decoder, string, *strictjson.Node) {
	return func(d *decoder, path string, n *strictjson.Node) { d.object(path, n, fields) }
}

// name returns the decoder of an identifier.
func name(set func(string)) func(*decoder, string, *strictjson.Node) {
	return func(d *decoder, path string, n *strictjson.Node) {
		const expected = "1 to 63 letters, digits, '.', '_' and '-', beginning with a letter or digit"
		if text, ok := d.text(path, n, expected); ok {
			if !namePattern.MatchString(text) {
				d.reject(n, path, "value is not accepted", expected)
			}
			set(text)
		}
	}
}

// address returns the decoder of an IP address with a port.
func address(to *string) func(*decoder, string, *strictjson.Node) {
	return func(d *decoder, path string, n *strictjson.Node) {
		const expected = `an IP address and a port from 1 to 65535, for example "10.1.2.3:7000"`
		if text, ok := d.text(path, n, expected); ok {
			parsed, err := netip.ParseAddrPort(text)
			if err != nil || parsed.Port() == 0 {
				d.reject(n, path, "value is not an address", expected)
			}
			*to = text
		}
	}
}

// addresses returns the decoder of a list of addresses.
func addresses(to *[]string) func(*decoder, string, *strictjson.Node) {
	return func(d *decoder, path string, n *strictjson.Node) {
		if n.Kind != strictjson.Array {
			d.reject(n, path, "wrong type: "+string(n.Kind), "a list of peer addresses")
			return
		}
		for _, e := range n.Elements {
			var element string
			address(&element)(d, path, e)
			*to = append(*to, element)
		}
	}
}

// boolean returns the decoder of a boolean.
func boolean(to *bool) func(*decoder, string, *strictjson.Node) {
	return func(d *decoder, path string, n *strictjson.Node) {
		if n.Kind != strictjson.Bool {
			d.reject(n, path, "wrong type: "+string(n.Kind), "true or false")
			return
		}
		*to = n.Text == "true"
	}
}

// memory returns the decoder of a size in MiB, which is stored in bytes.
func memory(to *int64) func(*decoder, string, *strictjson.Node) {
	return func(d *decoder, path string, n *strictjson.Node) {
		expected := fmt.Sprintf("a whole number of MiB from %d to %d", minMemoryMB, maxMemoryMB)
		if n.Kind != strictjson.Number {
			d.reject(n, path, "wrong type: "+string(n.Kind), expected)
			return
		}
		v, err := strconv.ParseInt(n.Text, 10, 64)
		if err != nil || v < minMemoryMB || v > maxMemoryMB {
			d.reject(n, path, "value "+n.Text+" is out of range", expected)
			return
		}
		*to = v << 20
	}
}

// baseURL returns the decoder of a URL, which is stored without a trailing slash.
func baseURL(to *string) func(*decoder, string, *strictjson.Node) {
	return func(d *decoder, path string, n *strictjson.Node) {
		const expected = `an http or https URL without a query, for example "http://10.1.2.3:8000"`
		if text, ok := d.text(path, n, expected); ok {
			u, err := url.Parse(text)
			if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
				d.reject(n, path, "value is not a base URL", expected)
			}
			*to = strings.TrimSuffix(text, "/")
		}
	}
}

// logLevel returns the decoder of a log level.
func logLevel(to *slog.Level) func(*decoder, string, *strictjson.Node) {
	return func(d *decoder, path string, n *strictjson.Node) {
		levels := map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError}
		const expected = "one of debug, info, warn, error"
		if text, ok := d.text(path, n, expected); ok {
			level, known := levels[text]
			if !known {
				d.reject(n, path, "value is not a log level", expected)
			}
			*to = level
		}
	}
}

// duration returns the decoder of a duration. A number is rejected because it has
// no unit.
func duration(to *time.Duration) func(*decoder, string, *strictjson.Node) {
	return func(d *decoder, path string, n *strictjson.Node) {
		const expected = `a duration with its unit from 10ms to 1m, for example "2s"`
		if n.Kind == strictjson.Number {
			d.reject(n, path, "wrong unit: "+n.Text+" has none", expected)
			return
		}
		text, ok := d.text(path, n, expected)
		if !ok {
			return
		}
		v, err := time.ParseDuration(text)
		switch {
		case err != nil:
			d.reject(n, path, "value is not a duration", expected)
		case v < minTimeout || v > maxTimeout:
			d.reject(n, path, "value "+text+" is out of range", expected)
		}
		*to = v
	}
}
