package service

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/infra"
)

// delayedTable holds back the first transaction that commits results until deliver is
// closed. It then applies the transaction even if its sender has given up on it.
type delayedTable struct {
	infra.Table
	holding chan struct{} // closed when the transaction is held back
	deliver chan struct{}
}

func (t *delayedTable) Commit(ctx context.Context, txn infra.Txn) ([]uint64, error) {
	if t.shouldDelay(txn) {
		close(t.holding)
		<-t.deliver
	}
	return t.Table.Commit(context.WithoutCancel(ctx), txn)
}

func (t *delayedTable) shouldDelay(txn infra.Txn) bool {
	select {
	case <-t.holding:
		return false
	default:
	}
	for _, w := range txn.Writes {
		row, err := records.Decode[records.Range](w.Value)
		if err == nil && len(row.Segments) > 0 {
			return true
		}
	}
	return false
}

// A commit that is delayed on the network until after its job was reported as
// cancelled must not add results.
func TestLateCommitOfCancelledJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(batch.DefaultConfig(), completeAfter(time.Second))
		delayed := &delayedTable{Table: c.table, holding: make(chan struct{}), deliver: make(chan struct{})}
		c.nodeTable = delayed
		defer c.stopAll()
		c.start()
		n := c.start()
		file, refusal := n.upload("", inputLines(40))
		g.Expect(refusal).To(gomega.BeEmpty())
		job, refusal := n.create("", file.ID, nil)
		g.Expect(refusal).To(gomega.BeEmpty())
		<-delayed.holding
		_, refusal = n.cancel(job.ID)
		g.Expect(refusal).To(gomega.BeEmpty())
		g.Expect(c.waitForStatus(job.ID, "cancelled", time.Minute).Status).To(gomega.Equal("cancelled"))
		before, err := n.results(job.ID)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		close(delayed.deliver)
		time.Sleep(time.Minute)
		after, err := n.results(job.ID)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(after).To(gomega.HaveLen(len(before)))
		g.Expect(n.status(job.ID).RequestCounts.Completed).To(gomega.Equal(len(before)))
	})
}
