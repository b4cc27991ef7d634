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

// Guards against a platform outage that stops online requests, against a call that
// runs although its durable record could not be written, and against a node that
// cannot start during the outage.
var _ = It("serves online requests during a platform outage", func() {
	c := newCluster()
	c.expectCompleteAnswer(c.nodes[0], "before the outage", 8)
	c.table.Fault.Set(table.Fault{Down: true})
	c.objects.Fault.Set(objects.Fault{Down: true})
	c.fleet.Fault.Set(fleet.Fault{Down: true})

	for i, n := range c.nodes {
		c.expectCompleteAnswer(n, fmt.Sprint("during the outage ", i), 8)
		permit := fmt.Sprint("outage-", i)
		r := c.issuePermit(n, permit)
		c.g.Expect(r.Status).To(gomega.Equal(http.StatusServiceUnavailable), r.String())
		c.g.Expect(r.NotRun).To(gomega.Equal("true"))
		c.g.Expect(c.executions(permit)).To(gomega.BeZero())
	}
	c.g.Expect(c.changeSettings(c.nodes[0], "/", 0, map[string]any{"online.queue_limit": 10})).To(gomega.Equal(http.StatusServiceUnavailable))

	restarted := c.nodes[2]
	c.stop(restarted)
	c.start(restarted)
	c.awaitReady(restarted)
	c.expectCompleteAnswer(restarted, "after a restart without the platform", 8)

	c.table.Fault.Set(table.Fault{})
	c.objects.Fault.Set(objects.Fault{})
	c.fleet.Fault.Set(fleet.Fault{})
	c.g.Eventually(func() int { return c.issuePermit(restarted, "after-the-outage").Status }, waitTimeout).Should(gomega.Equal(http.StatusOK))
	c.g.Expect(c.executions("after-the-outage")).To(gomega.Equal(1))
})

// Guards against a call that runs twice because the table's response to the write
// of its record, or to the record of its completion, was lost.
var _ = It("runs calls at most once when table responses are lost", func() {
	c := newCluster()
	c.table.Fault.Set(table.Fault{LoseResponses: 0.5})
	for i := range 20 {
		permit := fmt.Sprint("lost-", i)
		issued := false
		for try := range 6 {
			r := c.issuePermit(c.nodes[try%3], permit)
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
