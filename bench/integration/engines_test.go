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

// Guards against truncated, repeated or missing tokens when engines break
// streams, refuse requests or close connections.
var _ = It("streams survive engine failures", func() {
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
	whole := 0
	for i, r := range results {
		want := engine.Answer(fmt.Sprint("failing ", i), 20)
		if r.OK() {
			c.g.Expect(r.Text).To(gomega.Equal(want))
			whole++
			continue
		}
		c.g.Expect(r.Code).NotTo(gomega.BeEmpty(), "a failed stream ends with a typed error: %s", r.String())
		c.g.Expect(want).To(gomega.HavePrefix(r.Text))
	}
	c.g.Expect(whole).To(gomega.BeNumerically(">", len(results)/2))
})

// Guards against a permit that is issued twice or a false "not run" when the
// connection to a plain service breaks before or after the call has run.
var _ = It("non-idempotent calls run at most once", func() {
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

// resendPermit sends one permit to every node with the same key, two at once.
func (c *cluster) resendPermit(permit string) {
	var wait sync.WaitGroup
	results := make([]client.Result, 4)
	for i := range results {
		wait.Go(func() { results[i] = c.issue(c.nodes[i%3], permit) })
		if i == 1 {
			wait.Wait()
		}
	}
	wait.Wait()
	answered, certain := false, true
	for _, r := range results {
		answered = answered || r.Status == 200
		certain = certain && r.NotRun == "true"
	}
	switch {
	case answered:
		c.g.Expect(c.executions(permit)).To(gomega.Equal(1), permit)
	case certain:
		c.g.Expect(c.executions(permit)).To(gomega.BeZero(), permit)
	}
}

// Guards against a drained backend server that goes on getting work, and
// against a drain that cuts its streams.
var _ = It("a drained backend server gets no new work", func() {
	c := newCluster()
	victim := c.engines[0]
	long := make(chan client.Result, 8)
	for i := range 8 {
		go func() { long <- c.generate(c.nodes[0], fmt.Sprint("long ", i), 400) }()
	}
	c.g.Eventually(func() int { return victim.Engine.Stats(false).Running }, eventually).Should(gomega.BeNumerically(">", 0))
	c.g.Expect(c.change(c.nodes[1], "/fleet/dc-a-engine-0", 0, map[string]any{"drain": true})).To(gomega.Equal(200))
	time.Sleep(3 * time.Second) // the users' bound
	before := victim.Engine.Stats(false).Accepted
	for i := range 40 {
		c.expectWhole(c.nodes[i%3], fmt.Sprint("after the drain ", i), 4)
	}
	c.g.Expect(victim.Engine.Stats(false).Accepted).To(gomega.Equal(before))
	for range 8 {
		r := <-long
		c.g.Expect(r.OK()).To(gomega.BeTrue(), r.String())
	}
})
