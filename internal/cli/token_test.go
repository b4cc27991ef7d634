package cli

import (
	"bytes"
	"context"
	"crypto/sha256"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/httpapi/operators"
)

// Guards against commands that do not send the operator's token, against a token
// file that is ignored, and against a line feed at its end that becomes part of
// the token.
func TestOperatorsToken(t *testing.T) {
	g := gomega.NewWithT(t)
	mux := http.NewServeMux()
	(&operators.Server{Version: "9", TokenDigests: [][sha256.Size]byte{sha256.Sum256([]byte("right"))}}).Register(mux)
	server := httptest.NewServer(mux)
	defer server.Close()
	file := func(name, content string) string {
		path := filepath.Join(t.TempDir(), name)
		g.Expect(os.WriteFile(path, []byte(content), 0o600)).To(gomega.Succeed())
		return path
	}
	for _, test := range []struct {
		env, file string
		exit      int
	}{
		{exit: exitRefused},
		{env: "wrong", exit: exitRefused},
		{env: "right", exit: exitOK},
		{env: "wrong", file: file("token", "right\n"), exit: exitOK},
		{env: "right", file: file("empty", "\n"), exit: exitUsage},
		{env: "right", file: "/nonexistent", exit: exitUsage},
	} {
		var out, errors bytes.Buffer
		app := &App{Stdout: &out, Stderr: &errors, Version: "1", Getenv: func(name string) string {
			return map[string]string{envOperators: server.URL, envToken: test.env}[name]
		}}
		args := []string{"version"}
		if test.file != "" {
			args = append(args, "-token-file", test.file)
		}
		g.Expect(app.Run(context.Background(), args)).To(gomega.Equal(test.exit), "%+v: %s", test, &errors)
		g.Expect(errors.String()).NotTo(gomega.ContainSubstring("right"))
	}
}
