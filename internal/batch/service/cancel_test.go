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

// lateTable delivers the first transaction that names results late, although
// its sender has given up on it.
type lateTable struct {
	infra.Table
	held    chan struct{} // closed when the transaction is held back
	deliver chan struct{}
}

func (l *lateTable) Commit(ctx context.Context, txn infra.Txn) ([]uint64, error) {
	if l.holds(txn) {
		close(l.held)
		<-l.deliver
	}
	return l.Table.Commit(context.WithoutCancel(ctx), txn)
}

func (l *lateTable) holds(txn infra.Txn) bool {
	select {
	case <-l.held:
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

// Guards against results that are committed after a job was reported as
// cancelled: a commit that was on its way arrives late.
func TestLateCommitOfCancelledJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(batch.DefaultConfig(), answerAfter(time.Second))
		late := &lateTable{Table: c.table, held: make(chan struct{}), deliver: make(chan struct{})}
		c.view = late
		defer c.stopAll()
		c.start()
		n := c.start()
		file, refusal := n.upload("", input(40))
		g.Expect(refusal).To(gomega.BeEmpty())
		job, refusal := n.create("", file.ID, nil)
		g.Expect(refusal).To(gomega.BeEmpty())
		<-late.held
		_, refusal = n.cancel(job.ID)
		g.Expect(refusal).To(gomega.BeEmpty())
		g.Expect(c.awaitStatus(job.ID, "cancelled", time.Minute).Status).To(gomega.Equal("cancelled"))
		before, err := n.results(job.ID)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		close(late.deliver)
		time.Sleep(time.Minute)
		after, err := n.results(job.ID)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(after).To(gomega.HaveLen(len(before)))
		g.Expect(n.status(job.ID).RequestCounts.Completed).To(gomega.Equal(len(before)))
	})
}
