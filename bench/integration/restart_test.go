package integration

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Guards against a restarted node that refuses callers because it does not know
// the backend servers yet. Until then its port is closed, and callers and load
// balancers use another node.
var _ = It("takes callers only when it knows the backend servers", func() {
	c := newCluster()
	restarted := c.nodes[1]
	c.stop(restarted)
	c.start(restarted)
	c.g.Eventually(func() int {
		r := c.generate(restarted, "verse", 5)
		c.g.Expect(r.Code).To(gomega.BeEmpty(), r.String())
		return r.Status
	}, waitTimeout, "1ms").Should(gomega.Equal(http.StatusOK))
})
