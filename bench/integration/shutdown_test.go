package integration

import (
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/bench/client"
)

// Guards against a graceful shutdown that breaks streams, that keeps reporting the
// node as ready, or that leaves its batch ranges until their leases expire.
var _ = It("completes streams during a graceful shutdown", func() {
	c := newCluster()
	stopping := c.nodes[1]
	b, _ := c.createBatch(stopping, c.uploadItems(stopping, 200, 20), "stop")
	const streams, tokens = 10, 300
	results := make(chan client.Result, streams)
	for i := range streams {
		go func() { results <- c.generate(stopping, fmt.Sprint("ballad ", i), tokens) }()
	}
	c.g.Eventually(c.runningRequests, waitTimeout).Should(gomega.BeNumerically(">=", streams))
	stop, done := stopping.stop, stopping.done
	stopping.stop = nil
	close(stop)
	c.g.Eventually(func() int {
		response, err := http.Get(stopping.url() + "/readyz")
		if err != nil {
			return 0 // the listener is closed
		}
		_ = response.Body.Close()
		return response.StatusCode
	}, waitTimeout).ShouldNot(gomega.Equal(http.StatusOK))
	for range streams {
		r := <-results
		c.g.Expect(r.OK()).To(gomega.BeTrue(), r.String())
		c.g.Expect(r.Tokens).To(gomega.Equal(tokens))
	}
	c.g.Expect(<-done).To(gomega.Succeed())
	c.g.Eventually(func() string { return c.getBatch(c.nodes[0], b.ID).Status }, waitTimeout).Should(gomega.Equal("completed"))
	c.expectResults(c.nodes[0], c.getBatch(c.nodes[0], b.ID).OutputFileID, 200, 20)
})
