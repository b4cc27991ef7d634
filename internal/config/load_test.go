package config

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const good = `{
  // Node of data centre luzon-a.
  "id": "luzon-a-1", "data_centre": "luzon-a", "region": "luzon",
  "listen": {"callers": "10.0.0.1:8080", "operators": "10.0.0.1:8081", "peers": "[::1]:8082"},
  "platform": {"table": "http://10.0.1.1:1/", "objects": "http://10.0.1.1:2", "weights": "http://10.0.1.1:3", "fleet": "https://10.0.1.1:4"},
  "seeds": ["10.0.0.2:8082"],
  "log_level": "warn",
  "timeouts": {"table": "1500ms"},
}`

// Guards against values that are lost or defaults that are not applied.
func TestParse(t *testing.T) {
	g := gomega.NewWithT(t)
	n, err := Parse("node.json", []byte(good))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	want := DefaultTimeouts()
	want.Table = 1500 * time.Millisecond
	g.Expect(*n).To(gomega.Equal(Node{
		ID: "luzon-a-1", DataCentre: "luzon-a", Region: "luzon",
		Listen:   Listen{"10.0.0.1:8080", "10.0.0.1:8081", "[::1]:8082"},
		Platform: Platform{"http://10.0.1.1:1", "http://10.0.1.1:2", "http://10.0.1.1:3", "https://10.0.1.1:4"},
		Seeds:    []string{"10.0.0.2:8082"}, LogLevel: slog.LevelWarn, Timeouts: want,
	}))
}

// Guards against bad files that are accepted or refused without their place.
func TestParseRefusals(t *testing.T) {
	for _, test := range []struct{ old, new, want string }{
		{`"region": "luzon"`, `"regoin": "luzon"`, `node.json:3:48: unknown key "regoin", did you mean "region"?`},
		{`"region": "luzon",`, ``, `node.json:1:1: region: missing`},
		{`"10.0.0.1:8080"`, `"localhost:8080"`, `node.json:4:25: listen.callers: value is not an address; expected an IP address and a port`},
		{`"10.0.0.1:8080"`, `"10.0.0.1:8081"`, `node.json:4:55: listen.operators: address 10.0.0.1:8081 is already that of listen.callers`},
		{`"10.0.0.1:8080"`, `8080`, `node.json:4:25: listen.callers: wrong type: number`},
		{`"http://10.0.1.1:2"`, `"10.0.1.1:2"`, `node.json:5:58: platform.objects: value is not a base URL`},
		{`["10.0.0.2:8082"]`, `["10.0.0.2"]`, `node.json:6:13: seeds: value is not an address`},
		{`"warn"`, `"loud"`, `node.json:7:16: log_level: value is not a log level; expected one of debug, info, warn, error`},
		{`"1500ms"`, `1500`, `node.json:8:25: timeouts.table: wrong unit: 1500 has none`},
		{`"1500ms"`, `"2h"`, `node.json:8:25: timeouts.table: value 2h is out of range`},
		{`"id":`, `"id": "x", "id":`, `node.json:3:14: id: duplicate key "id"`},
		{`"luzon-a-1"`, `"luzon a"`, `node.json:3:9: id: value is not accepted`},
	} {
		g := gomega.NewWithT(t)
		_, err := Parse("node.json", []byte(strings.Replace(good, test.old, test.new, 1)))
		g.Expect(err).To(gomega.HaveOccurred(), test.new)
		g.Expect(err.Error()).To(gomega.ContainSubstring(test.want))
	}
}
