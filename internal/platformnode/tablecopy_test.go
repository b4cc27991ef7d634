package platformnode

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/infra"
)

// Guards against pages of a table copy that lack a row, repeat one, or do not fit into
// a message.
func TestCopyPagesHoldEachRowOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		var rows []infra.VersionedRow
		want := make(map[infra.RowKey]bool)
		for i := range random.IntN(200) {
			row := infra.VersionedRow{
				RowKey: infra.RowKey{Table: fmt.Sprintf("t%d", random.IntN(3)), Key: fmt.Sprintf("k%d", i)},
				Value:  make([]byte, random.IntN(64<<10)), Version: random.Uint64(),
			}
			rows, want[row.RowKey] = append(rows, row), true
		}
		after, got := "", 0
		for {
			page := copyPage(rows, after)
			encoded, err := msgpack.Marshal(page)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(len(encoded)).To(gomega.BeNumerically("<=", copyPageBytes+copyRowBytes))
			for _, table := range page.Tables {
				for _, row := range table {
					g.Expect(want).To(gomega.HaveKey(row.RowKey), "a row comes twice")
					delete(want, row.RowKey)
					got++
				}
			}
			if page.Next == "" {
				break
			}
			g.Expect(page.Next > after).To(gomega.BeTrue())
			after = page.Next
		}
		g.Expect(want).To(gomega.BeEmpty())
		g.Expect(got).To(gomega.Equal(len(rows)))
	}
}
