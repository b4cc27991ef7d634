package integration

import (
	. "github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Guards against a change of the model version that does not reach every engine,
// and against requests that fail during the roll-out.
var _ = It("rolls out a model version", func() {
	c := newCluster()
	c.g.Expect(c.changeSettings(c.nodes[1], "/services/models", c.settingsVersion(c.nodes[1], "/services/models"),
		map[string]any{"engine.model_version": "v2"})).To(gomega.Equal(200))
	for _, e := range c.engines {
		c.g.Eventually(func() []string {
			c.expectCompleteAnswer(c.nodes[0], "during the roll-out", 4)
			return e.Engine.Report().Models
		}, waitTimeout).Should(gomega.ContainElement("m@v2"))
	}
})
