package logline

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// Guards against stack traces in log lines. They make lines ten times as long,
// and a search for a request ID finds the same error with different stacks.
func TestErrorIsLoggedWithoutStack(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	log := slog.New(NewHandler(&out, slog.LevelInfo))
	log.Warn("x", "error", errors.Wrap(errors.New("peer unavailable"), "ask"), "n", 1)
	log.Debug("not logged")
	g.Expect(strings.Count(out.String(), "\n")).To(gomega.Equal(1))
	g.Expect(out.String()).To(gomega.HaveSuffix("msg=x error=\"ask: peer unavailable\" n=1\n"))
}
