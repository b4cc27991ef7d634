package contain

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a panic that passes on, or that leaves no trace: its unit, ID and
// stack must be in the log.
func TestPanicIsContainedAndLogged(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	before := Count()
	func() {
		defer Recover(log, "row", "k-1")
		panic("broken row")
	}()
	err := func() (err error) {
		defer Error(log, "message", "m-2", &err)
		fields := strings.Split("one field", ",")
		_ = fields[len(fields)]
		return nil
	}()
	g.Expect(err).To(gomega.MatchError(ErrPanic))
	g.Expect(Count() - before).To(gomega.Equal(int64(2)))
	g.Expect(out.String()).To(gomega.And(gomega.ContainSubstring("id=k-1"), gomega.ContainSubstring("broken row"),
		gomega.ContainSubstring("id=m-2"), gomega.ContainSubstring("contain_test.go")))
	g.Expect(func() (err error) { defer Error(log, "message", "m-3", &err); return nil }()).To(gomega.Succeed())
}
