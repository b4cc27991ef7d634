package integration

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/bench/client"
	"gentiantide.example/gentiantide/bench/standin/engine"
	"gentiantide.example/gentiantide/bench/standin/plain"
)

// Guards against truncated streams and repeated or missing tokens when engines
// break streams, refuse requests or close connections.
var _ = It("completes streams despite engine failures", func() {
	c := newCluster()
	for i, e := range c.engines {
		if i%2 == 0 {
			e.Engine.SetFault(engine.Fault{CutAfter: 5, CutShare: 0.3, Refuse: 0.2, Drop: 0.1})
		}
	}
	var wait sync.WaitGroup
	results := make([]client.Result, 60)
	for i := range results {
		wait.Go(func() { results[i] = c.generate(c.nodes[i%3], fmt.Sprint("failing ", i), 20) })
	}
	wait.Wait()
	complete := 0
	for i, r := range results {
		want := engine.OutputText(fmt.Sprint("failing ", i), 20)
		if r.OK() {
			c.g.Expect(r.Text).To(gomega.Equal(want))
			complete++
			continue
		}
		c.g.Expect(r.Code).NotTo(gomega.BeEmpty(), "a failed stream must end with an error code: %s", r.String())
		c.g.Expect(want).To(gomega.HavePrefix(r.Text))
	}
	c.g.Expect(complete).To(gomega.BeNumerically(">", len(results)/2))
})

// Guards against a permit that is issued twice, and against a "not run" response
// to a call that has run, when the connection to a plain service breaks before or
// after the call has run.
var _ = It("runs non-idempotent calls at most once", func() {
	c := newCluster()
	for _, p := range c.plain {
		p.Fault.Set(plain.Fault{DropBefore: 0.2, DropAfter: 0.2, Refuse: 0.2})
	}
	const permits = 40
	var wait sync.WaitGroup
	for i := range permits {
		wait.Go(func() { c.resendPermit(fmt.Sprint("p", i)) })
	}
	wait.Wait()
	issued := 0
	for i := range permits {
		n := c.executions(fmt.Sprint("p", i))
		c.g.Expect(n).To(gomega.BeNumerically("<=", 1))
		issued += n
	}
	c.g.Expect(issued).To(gomega.BeNumerically(">", permits/2))
})

// resendPermit sends one permit four times with the same key, to all nodes and two
// calls at a time, and checks the executions against the responses.
func (c *cluster) resendPermit(permit string) {
	var wait sync.WaitGroup
	results := make([]client.Result, 4)
	for i := range results {
		wait.Go(func() { results[i] = c.issuePermit(c.nodes[i%3], permit) })
		if i == 1 {
			wait.Wait()
		}
	}
	wait.Wait()
	answered, allNotRun := false, true
	for _, r := range results {
		answered = answered || r.Status == 200
		allNotRun = allNotRun && r.NotRun == "true"
	}
	switch {
	case answered:
		c.g.Expect(c.executions(permit)).To(gomega.Equal(1), permit)
	case allNotRun:
		c.g.Expect(c.executions(permit)).To(gomega.BeZero(), permit)
	}
}

// Guards against a drained backend server that still receives requests, and
// against a drain that breaks its streams.
var _ = It("sends no new requests to a drained backend server", func() {
	c := newCluster()
	drained := c.engines[0]
	long := make(chan client.Result, 8)
	for i := range 8 {
		go func() { long <- c.generate(c.nodes[0], fmt.Sprint("long ", i), 400) }()
	}
	c.g.Eventually(func() int { return drained.Engine.Stats(false).Running }, waitTimeout).Should(gomega.BeNumerically(">", 0))
	c.g.Expect(c.changeSettings(c.nodes[1], "/fleet/dc-a-engine-0", 0, map[string]any{"drain": true})).To(gomega.Equal(200))
	time.Sleep(3 * time.Second) // the time within which a drain must take effect
	before := drained.Engine.Stats(false).Accepted
	for i := range 40 {
		c.expectCompleteAnswer(c.nodes[i%3], fmt.Sprint("after the drain ", i), 4)
	}
	c.g.Expect(drained.Engine.Stats(false).Accepted).To(gomega.Equal(before))
	for range 8 {
		r := <-long
		c.g.Expect(r.OK()).To(gomega.BeTrue(), r.String())
	}
})
