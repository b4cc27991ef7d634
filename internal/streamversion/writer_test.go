package streamversion

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/infratest"
)

// recordsOf returns the number of rows of streams.
func recordsOf(rows *infratest.Rows) int {
	n := 0
	for i := range numPartitions {
		set, err := rows.Range(context.Background(), infra.RowRange{Table: StreamsTable, Partition: partitionName(i)})
		if err != nil {
			panic(err)
		}
		n += len(set.Rows)
	}
	return n
}

// lateTable holds the first transaction with a record back, without an answer.
type lateTable struct {
	infra.PartitionedTable
	mu   sync.Mutex
	late *infra.RowTxn
}

func (l *lateTable) held() *infra.RowTxn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.late
}

func (l *lateTable) CommitRows(ctx context.Context, txn infra.RowTxn) (uint64, error) {
	l.mu.Lock()
	hold := l.late == nil && txn.Writes[0].Table == StreamsTable
	if hold {
		l.late = &txn
	}
	l.mu.Unlock()
	if hold {
		return 0, infra.ErrOutcomeUnknown
	}
	return l.PartitionedTable.CommitRows(ctx, txn)
}

// Guards against a write of the version of a first attempt that takes effect after the
// record was corrected to that of the second one.
func TestLateWriteDoesNotUndoCorrection(t *testing.T) {
	inBubble(t, func(g *gomega.WithT, rows *infratest.Rows, n *testNode) {
		register(rows, "v2", true)
		register(rows, "v3", true)
		time.Sleep(time.Second)
		late := &lateTable{PartitionedTable: rows}
		n.link.mu.Lock()
		n.link.late = late
		n.link.mu.Unlock()
		recording := n.Begin(testService, "stream", testLife)
		recording.Send("v2")
		synctest.Wait()
		g.Expect(late.held()).NotTo(gomega.BeNil())
		recording.Send("v3")
		g.Expect(recording.Await(context.Background())).To(gomega.Succeed())
		_ = rows.Apply(*late.held()) // may be rejected
		other := startNode(rows, "other")
		defer other.cancel()
		origin, err := other.Resolve(context.Background(), testService, "stream")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(origin.Version).To(gomega.BeEquivalentTo("v3"))
	})
}

// Guards against an event that reaches the caller before other nodes can find the
// version of its stream.
func TestFirstEventWaitsForItsRecord(t *testing.T) {
	inBubble(t, func(g *gomega.WithT, rows *infratest.Rows, n *testNode) {
		register(rows, "v2", true)
		time.Sleep(time.Second)
		rows.SetFaultPlan(infratest.FaultPlan{Down: true})
		_, recorded, delivered := n.begin("stream", "v2")
		g.Expect(recorded || delivered).To(gomega.BeFalse(), "a replica of the base version is there")
		g.Expect(*n.Fallback(testService)).To(gomega.BeEquivalentTo("v1"), "new streams begin where no record is needed")

		register(rows, "v1", false)
		rows.SetFaultPlan(infratest.FaultPlan{})
		time.Sleep(5 * time.Second)
		rows.SetFaultPlan(infratest.FaultPlan{Down: true})
		recording, recorded, delivered := n.begin("without base", "v2")
		g.Expect(recorded).To(gomega.BeFalse())
		g.Expect(delivered).To(gomega.BeTrue(), "online work continues without the base version")
		recording.End()
		rows.SetFaultPlan(infratest.FaultPlan{})
		time.Sleep(5 * time.Second)
		other := startNode(rows, "other")
		defer other.cancel()
		origin, err := other.Resolve(context.Background(), testService, "without base")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(origin.Version).To(gomega.BeEquivalentTo("v2"), "the record is written when the store is back")
	})
}
