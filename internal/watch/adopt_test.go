package watch

import (
	"log/slog"
	"testing"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/infratest"
)

// Guards against a copy that goes back in time because a peer has an older row, and against
// rows of other tables or partitions. The load it answers: nodes that the store has lost ask
// peers that are themselves behind.
func TestAdoptTakesOnlyNewerRows(t *testing.T) {
	g := gomega.NewWithT(t)
	seen := &recorder{rows: make(map[string]string)}
	w := New(infratest.NewRows(), "t", []string{""}, seen, slog.New(slog.DiscardHandler))
	row := func(table, partition, value string, version uint64) []infra.VersionedRow {
		return []infra.VersionedRow{{RowKey: infra.RowKey{Table: table, Partition: partition, Key: "k"}, Value: []byte(value), Version: version}}
	}
	for _, c := range []struct {
		rows    []infra.VersionedRow
		adopted bool
		want    string
	}{
		{nil, false, ""},
		{row("t", "", "five", 5), true, "five"},
		{row("t", "", "four", 4), false, "five"},
		{row("t", "", "again", 5), false, "five"},
		{row("u", "", "other", 9), false, "five"},
		{row("t", "p", "other", 9), false, "five"},
		{row("t", "", "seven", 7), true, "seven"},
	} {
		g.Expect(w.Adopt(c.rows)).To(gomega.Equal(c.adopted))
		g.Expect(seen.get("k")).To(gomega.Equal(c.want))
		if c.want != "" {
			g.Expect(string(w.Copy()[0].Value)).To(gomega.Equal(c.want))
		}
	}
}
