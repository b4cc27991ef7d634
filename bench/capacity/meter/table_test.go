package meter

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/infratest"
)

// Guards against counts that miss rows of a transaction or leave out transactions
// that fail: the estimated load on the table service is derived from them.
func TestTableCounts(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	table := NewTable(infratest.NewTable())
	txn := infra.Txn{
		Conditions: []infra.Condition{{Key: "range/a/1"}},
		Writes:     []infra.Write{{Key: "range/a/1", Value: []byte{1}}, {Key: "job/a", Value: []byte{1}}},
	}
	_, err := table.Commit(ctx, txn)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = table.Commit(ctx, txn)
	g.Expect(err).To(MatchError(infra.ErrConflict))
	_, err = table.Scan(ctx, "range/", "", 10)
	g.Expect(err).NotTo(HaveOccurred())
	counts := table.Counts()
	g.Expect(counts.Commits).To(Equal(map[string]int{"range": 2}))
	g.Expect(counts.RowsWritten).To(Equal(map[string]int{"range": 2, "job": 2}))
	g.Expect(counts.Conflicts).To(Equal(map[string]int{"range": 1}))
	g.Expect(counts.Reads).To(Equal(map[string]int{"range": 1}))
	g.Expect(counts.RowsRead).To(Equal(map[string]int{"range": 1}))
}
