package watch

import (
	"context"
	"log/slog"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/infra"
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

// Guards against the memory of large rows of other clients that no node needs.
func TestValuesOfUselessRowsAreNotKept(t *testing.T) {
	g := gomega.NewWithT(t)
	rows := infratest.NewRows()
	writeRow(g, rows, "0", "a", "1")
	writeRow(g, rows, "0", "odd-1", strings.Repeat("[", 64<<10))
	r := &recorder{rows: make(map[string]string)}
	w := New(rows, "t", []string{"0"}, r, slog.New(slog.DiscardHandler))
	w.Useful = func(row *infra.VersionedRow) bool { return !strings.HasPrefix(row.Key, "odd") }
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { w.Run(ctx); close(ended) }()
	defer func() { cancel(); <-ended }()
	<-w.Loaded()
	writeRow(g, rows, "0", "odd-2", strings.Repeat("[", 64<<10))
	writeRow(g, rows, "0", "b", "1")
	g.Eventually(func() string { return r.get("b") }, eventuallyTimeout, "1ms").Should(gomega.Equal("1"))
	g.Expect(r.get("odd-1")).To(gomega.HaveLen(64<<10), "the handler gets the value")
	w.mu.Lock()
	defer w.mu.Unlock()
	kept := 0
	for _, row := range w.rows {
		kept += len(row.Value)
	}
	g.Expect(kept).To(gomega.Equal(2))
	g.Expect(w.rows).To(gomega.HaveLen(4))
}
