package integration

import (
	"fmt"
	"reflect"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/bench/client"
	"gentiantide.example/gentiantide/bench/standin/engine"
	"gentiantide.example/gentiantide/internal/core"
)

// Guards against a data centre that stops serving while it is partitioned from the
// others, and against nodes that are not seen as live again after the partition.
var _ = It("serves requests in partitioned data centres", func() {
	c := newCluster()
	for _, from := range c.nodes {
		from.BlockPeers(allExcept(from))
	}
	for i, n := range c.nodes {
		c.g.Eventually(func() bool {
			return c.seesLive(n, c.nodes[(i+1)%3].id) || c.seesLive(n, c.nodes[(i+2)%3].id)
		}, waitTimeout).Should(gomega.BeFalse())
		for j := range 10 {
			c.expectCompleteAnswer(n, fmt.Sprintf("cut off %d %d", i, j), 8)
		}
		c.g.Expect(c.issuePermit(n, fmt.Sprint("cut-", i)).Status).To(gomega.Equal(200))
		c.g.Expect(c.executions(fmt.Sprint("cut-", i))).To(gomega.Equal(1))
	}
	for _, n := range c.nodes {
		n.BlockPeers(nil)
	}
	for i, n := range c.nodes {
		c.g.Eventually(func() bool { return c.seesLive(n, c.nodes[(i+1)%3].id) }, waitTimeout).Should(gomega.BeTrue())
	}
})

// Guards against requests that fail during a partition in one direction only,
// between the entry node and the owner of the replicas that it would use.
var _ = It("serves requests during a one-way partition", func() {
	c := newCluster()
	c.blockPeer(c.nodes[0], c.nodes[1])
	for i := range 30 {
		c.expectCompleteAnswer(c.nodes[i%2], fmt.Sprint("one way ", i), 8)
	}
	c.nodes[0].BlockPeers(nil)
	c.expectCompleteAnswer(c.nodes[0], "healed", 8)
})

// allExcept matches every node but n, for BlockPeers.
func allExcept(n *testNode) func(core.NodeID) bool {
	return func(id core.NodeID) bool { return string(id) != n.id }
}

// Guards against requests that fail, or engines that stay overloaded, while two
// nodes of one data centre each consider themselves the owner of all its replicas,
// and against nodes that disagree about the owners after the partition.
var _ = It("serves requests in a split data centre", func() {
	c := newClusterWithNodes(2)
	first, second := c.nodes[0], c.nodes[1]
	c.blockPeer(first, second)
	c.blockPeer(second, first)
	c.g.Eventually(func() bool { return c.seesLive(first, second.id) || c.seesLive(second, first.id) }, waitTimeout).Should(gomega.BeFalse())

	var wait sync.WaitGroup
	results := make([]client.Result, 48)
	for i := range results {
		wait.Go(func() { results[i] = c.generate(c.nodes[i%2], fmt.Sprint("split ", i), 40) })
	}
	wait.Wait()
	for i, r := range results {
		c.g.Expect(r.OK()).To(gomega.BeTrue(), r.String())
		c.g.Expect(r.Text).To(gomega.Equal(engine.OutputText(fmt.Sprint("split ", i), 40)))
	}
	first.BlockPeers(nil)
	second.BlockPeers(nil)
	for _, n := range []*testNode{first, second} {
		c.g.Eventually(func() bool { return c.seesLive(n, first.id) && c.seesLive(n, second.id) }, waitTimeout).Should(gomega.BeTrue())
	}
	c.g.Eventually(func() bool {
		a, b := c.owners(first), c.owners(second)
		return len(a) > 0 && reflect.DeepEqual(a, b)
	}, waitTimeout).Should(gomega.BeTrue(), "both nodes see the same owners")
})
