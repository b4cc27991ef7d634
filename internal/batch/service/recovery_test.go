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

// If the lost node was both the holder of a range and the coordinator of its job, the
// new coordinator must not wait for a full lease duration from the moment it takes
// over. The other nodes detect the loss after 8 s, as nodes in other data centres do.
// Times are virtual.
func TestRecoveryWhenTheCoordinatorIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		cfg := batch.DefaultConfig()
		c := newCluster(cfg, completeAfter(time.Minute))
		defer c.stopAll()
		// The coordinator of shard 0 observes all leases in any case.
		for c.ownerOfNextTwo(0) != nodeName(c.started+1) {
			c.started++
		}
		lost := c.start()
		file, refusal := lost.upload("", inputLines(40))
		g.Expect(refusal).To(gomega.BeEmpty())
		job := c.jobCoordinatedBy(g, lost, file.ID)
		time.Sleep(time.Second)
		c.start()
		time.Sleep(20 * time.Second) // the lease is renewed meanwhile
		killed := time.Now()
		lost.svc.Kill()
		time.Sleep(8 * time.Second)
		c.remove(lost)
		g.Expect(c.waitForTakeover(job)).To(gomega.BeTrue())
		g.Expect(time.Since(killed)).To(gomega.BeNumerically("<=", cfg.LeaseDuration+2*time.Second), "the recovery time objective is missed")
	})
}

func nodeName(i int) core.NodeID { return core.NodeID(fmt.Sprintf("node-%02d", i)) }

// ownerOfNextTwo returns which of the next two nodes to be started will coordinate a
// shard.
func (c *cluster) ownerOfNextTwo(shard int) core.NodeID {
	both := membership.NewView("", []membership.Member{
		{ID: nodeName(c.started + 1), State: membership.StateLive},
		{ID: nodeName(c.started + 2), State: membership.StateLive}})
	owner, _ := both.Owner(records.ShardName(shard), "")
	return owner
}

// jobCoordinatedBy creates a job that node n still coordinates after the next node has
// joined.
func (c *cluster) jobCoordinatedBy(g *gomega.WithT, n *testNode, file core.FileID) core.JobID {
	c.started--
	defer func() { c.started++ }()
	for i := range 64 {
		job, refusal := n.create(fmt.Sprint("k", i), file, nil)
		g.Expect(refusal).To(gomega.BeEmpty())
		id := core.JobID(job.ID)
		if c.ownerOfNextTwo(records.Shard(id, c.cfg.Shards)) == n.id {
			return id
		}
		_, refusal = n.cancel(id)
		g.Expect(refusal).To(gomega.BeEmpty())
		c.waitForStatus(id, "cancelled", time.Minute)
	}
	panic("found no idempotency key whose job the node coordinates")
}

// waitForTakeover waits until a range of the job has been claimed a second time. It
// returns false if this does not happen within a minute.
func (c *cluster) waitForTakeover(job core.JobID) bool {
	for range 600 {
		rows, _ := c.table.Scan(context.Background(), records.RangeKeyPrefix(job), "", 10)
		for _, row := range rows {
			if r, err := records.Decode[records.Range](row.Value); err == nil && r.Epoch > 1 {
				return true
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
