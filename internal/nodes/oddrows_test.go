package nodes

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/infratest"
)

// boundedTable refuses transactions with more entries than the platform's store takes.
type boundedTable struct{ *infratest.Rows }

func (t boundedTable) CommitRows(ctx context.Context, txn infra.RowTxn) (uint64, error) {
	if len(txn.Conditions)+len(txn.Writes) > 100 {
		return 0, errors.New("more than 100 entries")
	}
	return t.Rows.CommitRows(ctx, txn)
}

func putNodeRow(g *gomega.WithT, rows *infratest.Rows, key string, value []byte) {
	g.Expect(rows.Apply(infra.RowTxn{Writes: []infra.RowWrite{{RowKey: infra.RowKey{Table: Table, Key: key}, Value: value}}})).To(gomega.Succeed())
}

func encodeRecord(g *gomega.WithT, record Record) []byte {
	value, err := msgpack.Marshal(&record)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return value
}

// Guards against rows of another writer in the table of nodes that are taken for
// nodes, keep a node from its lease, or fill its log.
func TestOddNodeRowsNameNoNode(t *testing.T) {
	g := gomega.NewWithT(t)
	rows := infratest.NewRows()
	var log bytes.Buffer
	d := NewDirectory(boundedTable{rows}, Record{ID: "a", Lifetime: "1"}, slog.New(slog.NewTextHandler(&log, nil)))
	other := newTestDirectory(rows, "b", "1")
	g.Expect(other.renew(t.Context())).To(gomega.Succeed())
	odd := map[string][]byte{
		"empty": nil, "nil": {0xc0}, "map": {0x80}, "text": []byte("{}"), "cut": {0x81, 0xa2, 'i'}, "claims": {0xdf, 0xff, 0xff, 0xff, 0xff},
		"nested":    append([]byte{0x81, 0xa1, 'x'}, append(bytes.Repeat([]byte{0x91}, 64<<10), 0xc0)...),
		"other-key": encodeRecord(g, Record{ID: "c", Lifetime: "1", Until: math.MaxInt64}),
		"nan":       encodeRecord(g, Record{ID: "nan", Lifetime: "1", Until: math.MaxInt64, CPUCores: math.NaN()}),
		"infinite":  encodeRecord(g, Record{ID: "infinite", Lifetime: "1", Until: math.MaxInt64, CPUCores: math.Inf(1)}),
		"negative":  encodeRecord(g, Record{ID: "negative", Lifetime: "1", Until: math.MaxInt64, CPUCores: -1}),
	}
	for key, value := range odd {
		putNodeRow(g, rows, key, value)
	}
	for range 3 {
		g.Expect(d.renew(t.Context())).To(gomega.Succeed())
	}
	g.Expect(aliveOwners(d)).To(gomega.ConsistOf("a/1", "b/1"))
	g.Expect(d.View().Lapsed).To(gomega.BeEmpty())
	g.Expect(strings.Count(log.String(), "node row ignored")).To(gomega.Equal(len(odd)))
}

// Guards against leases that cannot be renewed because more rows are to be deleted
// than a transaction may hold.
func TestManyLapsedRowsAreDeletedInTurn(t *testing.T) {
	g := gomega.NewWithT(t)
	rows := infratest.NewRows()
	for i := range 120 {
		id := core.NodeID(fmt.Sprintf("gone-%d", i))
		putNodeRow(g, rows, string(id), encodeRecord(g, Record{ID: id, Until: time.Second}))
	}
	d := NewDirectory(boundedTable{rows}, Record{ID: "a", Lifetime: "1"}, slog.New(slog.DiscardHandler))
	for range 4 {
		g.Expect(d.renew(t.Context())).To(gomega.Succeed())
	}
	set, err := rows.Range(t.Context(), infra.RowRange{Table: Table})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(set.Rows).To(gomega.HaveLen(1))
}
