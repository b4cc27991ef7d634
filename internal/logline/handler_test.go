package logline

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// Guards against lines that carry a stack: they are ten times as long, and a
// search for a request's id shows the same error under different stacks.
func TestErrorsAreOneShortLine(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	log := slog.New(NewHandler(&out, slog.LevelInfo))
	log.Warn("x", "error", errors.Wrap(errors.New("peer unavailable"), "ask"), "n", 1)
	log.Debug("not logged")
	g.Expect(strings.Count(out.String(), "\n")).To(gomega.Equal(1))
	g.Expect(out.String()).To(gomega.HaveSuffix("msg=x error=\"ask: peer unavailable\" n=1\n"))
}
