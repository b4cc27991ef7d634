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

// Guards against a data centre that stops serving when it is cut off from the
// others, and against cuts that leave a node out after they heal.
var _ = It("data centres that are cut off go on serving", func() {
	c := newCluster()
	for _, from := range c.nodes {
		from.BlockPeers(isOther(from))
	}
	for i, n := range c.nodes {
		c.g.Eventually(func() bool {
			return c.seesLive(n, c.nodes[(i+1)%3].id) || c.seesLive(n, c.nodes[(i+2)%3].id)
		}, eventually).Should(gomega.BeFalse())
		for j := range 10 {
			c.expectWhole(n, fmt.Sprintf("cut off %d %d", i, j), 8)
		}
		c.g.Expect(c.issue(n, fmt.Sprint("cut-", i)).Status).To(gomega.Equal(200))
		c.g.Expect(c.executions(fmt.Sprint("cut-", i))).To(gomega.Equal(1))
	}
	for _, n := range c.nodes {
		n.BlockPeers(nil)
	}
	for i, n := range c.nodes {
		c.g.Eventually(func() bool { return c.seesLive(n, c.nodes[(i+1)%3].id) }, eventually).Should(gomega.BeTrue())
	}
})

// Guards against requests that fail while a cut lasts in one direction only,
// between the entry node and the owner of the replicas that it would use.
var _ = It("a one-way cut fails no request", func() {
	c := newCluster()
	c.cut(c.nodes[0], c.nodes[1])
	for i := range 30 {
		c.expectWhole(c.nodes[i%2], fmt.Sprint("one way ", i), 8)
	}
	c.nodes[0].BlockPeers(nil)
	c.expectWhole(c.nodes[0], "healed", 8)
})

// isOther returns a cut to every node but n itself.
func isOther(n *testNode) func(core.NodeID) bool {
	return func(id core.NodeID) bool { return string(id) != n.id }
}

// Guards against requests that fail, or engines that are overrun for long,
// while two nodes of one data centre each take themselves for the owner of all
// its replicas, and against two owners that stay after the cut has healed.
var _ = It("a split data centre goes on serving", func() {
	c := newClusterOf(2)
	first, second := c.nodes[0], c.nodes[1]
	c.cut(first, second)
	c.cut(second, first)
	c.g.Eventually(func() bool { return c.seesLive(first, second.id) || c.seesLive(second, first.id) }, eventually).Should(gomega.BeFalse())

	var wait sync.WaitGroup
	results := make([]client.Result, 48)
	for i := range results {
		wait.Go(func() { results[i] = c.generate(c.nodes[i%2], fmt.Sprint("split ", i), 40) })
	}
	wait.Wait()
	for i, r := range results {
		c.g.Expect(r.OK()).To(gomega.BeTrue(), r.String())
		c.g.Expect(r.Text).To(gomega.Equal(engine.Answer(fmt.Sprint("split ", i), 40)))
	}
	first.BlockPeers(nil)
	second.BlockPeers(nil)
	for _, n := range []*testNode{first, second} {
		c.g.Eventually(func() bool { return c.seesLive(n, first.id) && c.seesLive(n, second.id) }, eventually).Should(gomega.BeTrue())
	}
	c.g.Eventually(func() bool {
		a, b := c.owners(first), c.owners(second)
		return len(a) > 0 && reflect.DeepEqual(a, b)
	}, eventually).Should(gomega.BeTrue(), "both nodes name the same owners")
})
