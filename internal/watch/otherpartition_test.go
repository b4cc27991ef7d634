package watch

import (
	"testing"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/infra/infratest"
)

// Guards against a row of another partition that another client wrote under the key
// of a followed one: the feed brings the changes of all partitions. Its change or
// deletion must not replace or remove the followed row.
func TestRowsOfOtherPartitionsAreIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	rows := infratest.NewRows()
	writeRow(g, rows, "0", "a", "1")
	w, r := startWatcher(t, rows)
	<-w.Loaded()
	writeRow(g, rows, "other", "a", "foreign")
	writeRow(g, rows, "0", "mark", "1")
	g.Eventually(func() string { return r.get("mark") }, eventuallyTimeout, "1ms").Should(gomega.Equal("1"))
	g.Expect(r.get("a")).To(gomega.Equal("1"))
	writeRow(g, rows, "other", "a", "")
	writeRow(g, rows, "0", "mark", "2")
	g.Eventually(func() string { return r.get("mark") }, eventuallyTimeout, "1ms").Should(gomega.Equal("2"))
	g.Expect(r.get("a")).To(gomega.Equal("1"))
	g.Expect(w.Copy()).To(gomega.HaveLen(2))
}
