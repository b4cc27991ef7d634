package integration

import (
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/bench/client"
)

// Guards against a planned stop that cuts streams, that goes on announcing the
// node as ready, or that leaves its batch ranges to lapse.
var _ = It("a planned stop cuts no stream", func() {
	c := newCluster()
	leaving := c.nodes[1]
	b, _ := c.create(leaving, c.upload(leaving, 200, 20), "stop")
	const streams, tokens = 10, 300
	results := make(chan client.Result, streams)
	for i := range streams {
		go func() { results <- c.generate(leaving, fmt.Sprint("ballad ", i), tokens) }()
	}
	c.g.Eventually(c.running, eventually).Should(gomega.BeNumerically(">=", streams))
	stop, done := leaving.stop, leaving.done
	leaving.stop = nil
	close(stop)
	c.g.Eventually(func() int {
		response, err := http.Get(leaving.url() + "/readyz")
		if err != nil {
			return 0 // the listener is closed
		}
		_ = response.Body.Close()
		return response.StatusCode
	}, eventually).ShouldNot(gomega.Equal(http.StatusOK))
	for range streams {
		r := <-results
		c.g.Expect(r.OK()).To(gomega.BeTrue(), r.String())
		c.g.Expect(r.Tokens).To(gomega.Equal(tokens))
	}
	c.g.Expect(<-done).To(gomega.Succeed())
	c.g.Eventually(func() string { return c.status(c.nodes[0], b.ID).Status }, eventually).Should(gomega.Equal("completed"))
	c.expectResults(c.nodes[0], c.status(c.nodes[0], b.ID).OutputFileID, 200, 20)
})
