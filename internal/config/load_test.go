package config

import (
	"crypto/sha256"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const validSettings = `{
  // Node of data centre luzon-a.
  "id": "luzon-a-1", "data_centre": "luzon-a", "region": "luzon",
  "listen": {"callers": "10.0.0.1:8080", "operators": "10.0.0.1:8081", "peers": "[::1]:8082"},
  "platform": {"table": "http://10.0.1.1:1/", "objects": "http://10.0.1.1:2", "weights": "http://10.0.1.1:3", "fleet": "https://10.0.1.1:4"},
  "seeds": ["10.0.0.2:8082"],
  "log_level": "warn", "memory_mb": 144,
  "timeouts": {"table": "1500ms"},
  "operators": {"token_sha256": ["2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"]},
}`

// Guards against values that are lost and defaults that are not applied.
func TestParse(t *testing.T) {
	g := gomega.NewWithT(t)
	n, err := Parse("node.json", []byte(validSettings))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	want := DefaultTimeouts()
	want.Table = 1500 * time.Millisecond
	g.Expect(n.Warnings.Error()).To(gomega.ContainSubstring("node.json:4:81: listen.peers: address [::1]:8082 is a loopback address"))
	n.Warnings = nil
	g.Expect(*n).To(gomega.Equal(Node{
		ID: "luzon-a-1", DataCentre: "luzon-a", Region: "luzon",
		Listen:    Listen{"10.0.0.1:8080", "10.0.0.1:8081", "[::1]:8082"},
		Operators: Operators{TokenDigests: [][sha256.Size]byte{sha256.Sum256([]byte("secret"))}},
		Platform:  Platform{"http://10.0.1.1:1", "http://10.0.1.1:2", "http://10.0.1.1:3", "https://10.0.1.1:4"},
		Seeds:     []string{"10.0.0.2:8082"}, LogLevel: slog.LevelWarn, MemoryBytes: 144 << 20, Timeouts: want,
	}))
}

// Guards against invalid files that are accepted, and against problems without
// the right position.
func TestParseProblems(t *testing.T) {
	for _, test := range []struct{ old, new, want string }{
		{`"region": "luzon"`, `"regoin": "luzon"`, `node.json:3:48: unknown key "regoin", did you mean "region"?`},
		{`"region": "luzon",`, ``, `node.json:1:1: region: missing`},
		{`"10.0.0.1:8080"`, `"localhost:8080"`, `node.json:4:25: listen.callers: value is not an address; expected an IP address and a port`},
		{`"10.0.0.1:8080"`, `"10.0.0.1:8081"`, `node.json:4:55: listen.operators: address 10.0.0.1:8081 is already that of listen.callers`},
		{`"10.0.0.1:8080"`, `8080`, `node.json:4:25: listen.callers: wrong type: number`},
		{`"http://10.0.1.1:2"`, `"10.0.1.1:2"`, `node.json:5:58: platform.objects: value is not a base URL`},
		{`["10.0.0.2:8082"]`, `["10.0.0.2"]`, `node.json:6:13: seeds: value is not an address`},
		{`"warn"`, `"loud"`, `node.json:7:16: log_level: value is not a log level; expected one of debug, info, warn, error`},
		{`144`, `"144"`, `node.json:7:37: memory_mb: wrong type: string`},
		{`144`, `1`, `node.json:7:37: memory_mb: value 1 is out of range; expected a whole number of MiB from 64 to 1048576`},
		{`"1500ms"`, `1500`, `node.json:8:25: timeouts.table: wrong unit: 1500 has none`},
		{`"1500ms"`, `"2h"`, `node.json:8:25: timeouts.table: value 2h is out of range`},
		{`"id":`, `"id": "x", "id":`, `node.json:3:14: id: duplicate key "id"`},
		{`"token_sha256": [`, `"token_sha256": ["12", `, `node.json:9:34: operators.token_sha256: value is not a SHA-256 digest`},
		{`"2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"`, `"e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"`, `node.json:9:34: operators.token_sha256: value is the digest of the empty token`},
		{`["2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"]`, `[]`, `node.json:9:33: operators.token_sha256: the list is empty`},
		{`"token_sha256": [`, `"open": true, "token_sha256": [`, `node.json:9:25: operators.open: operators.token_sha256 is set as well`},
		{`"operators": {"token_sha256": ["2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"]},`, ``,
			`node.json:4:55: listen.operators: address 10.0.0.1:8081 can be reached from other VMs and no token is required`},
		{`"luzon-a-1"`, `"luzon a"`, `node.json:3:9: id: value is not accepted`},
	} {
		g := gomega.NewWithT(t)
		_, err := Parse("node.json", []byte(strings.Replace(validSettings, test.old, test.new, 1)))
		g.Expect(err).To(gomega.HaveOccurred(), test.new)
		g.Expect(err.Error()).To(gomega.ContainSubstring(test.want))
	}
}

// Guards against rejecting a listener without tokens although it can be reached
// only from its own VM or the file opens it explicitly.
func TestParseAcceptsOperatorsWithoutTokens(t *testing.T) {
	const tokens = `"operators": {"token_sha256": ["2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"]},`
	for _, test := range []struct{ address, operators string }{
		{`"127.0.0.1:8081"`, ``}, {`"[::1]:8081"`, ``}, {`"[::ffff:127.0.0.1]:8081"`, ``}, {`"10.0.0.1:8081"`, `"operators": {"open": true},`},
	} {
		g := gomega.NewWithT(t)
		file := strings.NewReplacer(`"10.0.0.1:8081"`, test.address, tokens, test.operators).Replace(validSettings)
		_, err := Parse("node.json", []byte(file))
		g.Expect(err).NotTo(gomega.HaveOccurred(), "%+v", test)
	}
}

// Guards against likely mistakes without a warning, and against warnings that make
// the file invalid.
func TestParseWarnings(t *testing.T) {
	for _, test := range []struct{ old, new, want string }{
		{`["10.0.0.2:8082"]`, `["10.0.0.2:8082", "[::1]:8082"]`, `node.json:6:30: seeds: address [::1]:8082 is the node's own listen.peers`},
		{`["10.0.0.2:8082"]`, `["10.0.0.1:8080"]`, `node.json:6:13: seeds: address 10.0.0.1:8080 is the node's own listen.callers`},
		{`["10.0.0.2:8082"]`, `["10.0.0.2:8082", "10.0.0.2:8082"]`, `node.json:6:30: seeds: address 10.0.0.2:8082 is already in the list`},
		{`"[::1]:8082"`, `"0.0.0.0:8082"`, `listen.peers: address 0.0.0.0:8082 is announced to other nodes`},
		{`"[::1]:8082"`, `"10.0.0.1:8082"`, `listen.peers: the listener accepts messages from every process`},
		{`"1500ms"`, `"1500ms", "stop_grace": "999ms"`, `node.json:8:49: timeouts.stop_grace: value 999ms is shorter`},
		{`"1500ms"`, `"1500ms", "connect": "3s"`, `node.json:8:46: timeouts.connect: value 3s is longer`},
	} {
		g := gomega.NewWithT(t)
		n, err := Parse("node.json", []byte(strings.Replace(validSettings, test.old, test.new, 1)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(n.Warnings.Error()).To(gomega.ContainSubstring(test.want))
	}
}

// Guards against accepting weak or missing secrets, against losing the second
// secret, and against problems that quote a secret.
func TestPeerSecretFile(t *testing.T) {
	long, other := strings.Repeat("s", 32), strings.Repeat("o", 40)
	for _, test := range []struct {
		content string
		mode    os.FileMode
		count   int
		want    string // the problem or the warning
	}{
		{long + "\n", 0o600, 1, ""},
		{long + "\r\n" + other + "\n\n", 0o400, 2, ""},
		{long, 0o644, 1, "the file has mode 0644"},
		{long[1:] + "\n", 0o600, 0, "line 1 of the file has 31 bytes"},
		{long + "\n\n" + other, 0o600, 0, "line 2 of the file has 0 bytes"},
		{long + "\n" + long + "\n" + long, 0o600, 0, "more than 2 lines"},
		{"", 0o600, 0, "line 1 of the file has 0 bytes"},
		{strings.Repeat("s", maxSecretFileBytes+1), 0o600, 0, "larger than 4096 bytes"},
	} {
		g := gomega.NewWithT(t)
		dir := t.TempDir()
		g.Expect(os.WriteFile(filepath.Join(dir, "secret"), []byte(test.content), test.mode)).To(gomega.Succeed())
		file := strings.Replace(validSettings, `"seeds"`, `"peer_secret_file": "secret", "seeds"`, 1)
		n, err := Parse(filepath.Join(dir, "node.json"), []byte(file))
		if test.count == 0 {
			g.Expect(err).To(gomega.MatchError(gomega.MatchRegexp(`node.json:6:23: peer_secret_file: .*` + test.want)))
			g.Expect(err.Error()).NotTo(gomega.ContainSubstring("ssss"))
			continue
		}
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(n.Warnings.Error()).To(gomega.ContainSubstring(test.want))
		g.Expect(n.PeerSecrets).To(gomega.HaveLen(test.count))
		g.Expect(string(n.PeerSecrets[test.count-1].Reveal())).To(gomega.Equal([]string{long, other}[test.count-1]))
	}
	_, err := Parse("node.json", []byte(strings.Replace(validSettings, `"seeds"`, `"peer_secret_file": "/nonexistent", "seeds"`, 1)))
	gomega.NewWithT(t).Expect(err).To(gomega.MatchError(gomega.ContainSubstring("/nonexistent: no such file")))
}
