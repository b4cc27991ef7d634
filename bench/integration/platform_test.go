package integration

import (
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/bench/standin/fleet"
	"gentiantide.example/gentiantide/bench/standin/objects"
	"gentiantide.example/gentiantide/bench/standin/table"
)

// Guards against an outage of the platform that stops online work, against a
// call that runs although its durable record could not be written, and against
// a node that cannot start while the platform is away.
var _ = It("online work goes on during a platform outage", func() {
	c := newCluster()
	c.expectWhole(c.nodes[0], "before the outage", 8)
	c.table.Fault.Set(table.Fault{Down: true})
	c.objects.Fault.Set(objects.Fault{Down: true})
	c.fleet.Fault.Set(fleet.Fault{Down: true})

	for i, n := range c.nodes {
		c.expectWhole(n, fmt.Sprint("during the outage ", i), 8)
		permit := fmt.Sprint("outage-", i)
		r := c.issue(n, permit)
		c.g.Expect(r.Status).To(gomega.Equal(http.StatusServiceUnavailable), r.String())
		c.g.Expect(r.NotRun).To(gomega.Equal("true"))
		c.g.Expect(c.executions(permit)).To(gomega.BeZero())
	}
	c.g.Expect(c.change(c.nodes[0], "/", 0, map[string]any{"online.queue_limit": 10})).To(gomega.Equal(http.StatusServiceUnavailable))

	restarted := c.nodes[2]
	c.stop(restarted)
	c.start(restarted)
	c.awaitReady(restarted)
	c.expectWhole(restarted, "after a restart without the platform", 8)

	c.table.Fault.Set(table.Fault{})
	c.objects.Fault.Set(objects.Fault{})
	c.fleet.Fault.Set(fleet.Fault{})
	c.g.Eventually(func() int { return c.issue(restarted, "after-the-outage").Status }, eventually).Should(gomega.Equal(http.StatusOK))
	c.g.Expect(c.executions("after-the-outage")).To(gomega.Equal(1))
})

// Guards against a call that runs twice because the answer of the write of its
// record, or the record of its end, was lost.
var _ = It("lost answers of the table double no call", func() {
	c := newCluster()
	c.table.Fault.Set(table.Fault{LoseAnswers: 0.5})
	for i := range 20 {
		permit := fmt.Sprint("lost-", i)
		issued := false
		for try := range 6 {
			r := c.issue(c.nodes[try%3], permit)
			issued = issued || r.Status == http.StatusOK
			if r.NotRun == "true" && !issued {
				c.g.Expect(c.executions(permit)).To(gomega.BeZero(), r.String())
			}
		}
		c.g.Expect(c.executions(permit)).To(gomega.BeNumerically("<=", 1))
		if issued {
			c.g.Expect(c.executions(permit)).To(gomega.Equal(1))
		}
	}
})
