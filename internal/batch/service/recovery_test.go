package service

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/membership"
)

// Guards against a new coordinator that waits for the whole length of a lease
// from the moment it takes over, when the lost node was both the holder of a
// range and the coordinator of its job. The others see the loss after 8 s, as
// nodes of other data centres do. Times are virtual.
func TestRecoveryWhenTheCoordinatorIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		cfg := batch.DefaultConfig()
		c := newCluster(cfg, answerAfter(time.Minute))
		defer c.stopAll()
		// The coordinator of shard 0 watches all leases in any case.
		for c.pairOwner(0) != nodeName(c.started+1) {
			c.started++
		}
		lost := c.start()
		file, refusal := lost.upload("", input(40))
		g.Expect(refusal).To(gomega.BeEmpty())
		job := c.jobCoordinatedBy(g, lost, file.ID)
		time.Sleep(time.Second)
		c.start()
		time.Sleep(20 * time.Second) // renewals go on
		killed := time.Now()
		lost.svc.Kill()
		time.Sleep(8 * time.Second)
		c.remove(lost)
		g.Expect(c.awaitTakeOver(job)).To(gomega.BeTrue())
		g.Expect(time.Since(killed)).To(gomega.BeNumerically("<=", cfg.LeaseLength+2*time.Second), "the users' target")
	})
}

func nodeName(i int) core.NodeID { return core.NodeID(fmt.Sprintf("node-%02d", i)) }

// pairOwner returns the coordinator of a shard among the next two nodes.
func (c *cluster) pairOwner(shard int) core.NodeID {
	both := membership.NewView("", []membership.Member{
		{ID: nodeName(c.started + 1), State: membership.StateLive},
		{ID: nodeName(c.started + 2), State: membership.StateLive}})
	owner, _ := both.Owner(records.ShardName(shard), "")
	return owner
}

// jobCoordinatedBy creates a job whose coordinator stays the node when the next
// node joins.
func (c *cluster) jobCoordinatedBy(g *gomega.WithT, n *testNode, file core.FileID) core.JobID {
	c.started--
	defer func() { c.started++ }()
	for i := range 64 {
		job, refusal := n.create(fmt.Sprint("k", i), file, nil)
		g.Expect(refusal).To(gomega.BeEmpty())
		id := core.JobID(job.ID)
		if c.pairOwner(records.Shard(id, c.cfg.Shards)) == n.id {
			return id
		}
		_, refusal = n.cancel(id)
		g.Expect(refusal).To(gomega.BeEmpty())
		c.awaitStatus(id, "cancelled", time.Minute)
	}
	panic("no key gives a job that the node coordinates")
}

// awaitTakeOver waits until a range of the job has been claimed a second time.
func (c *cluster) awaitTakeOver(job core.JobID) bool {
	for range 600 {
		rows, _ := c.table.Scan(context.Background(), records.RangePrefix(job), "", 10)
		for _, row := range rows {
			if r, err := records.Decode[records.Range](row.Value); err == nil && r.Epoch > 1 {
				return true
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
