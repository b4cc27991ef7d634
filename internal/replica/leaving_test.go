package replica

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a leaving replica that gets work again because its registration, which
// may be older than its responses, still says that it is ready; against one that stays
// out of service after a restart; and against a late response of the process before.
func TestReplicaThatSaysItIsLeaving(t *testing.T) {
	g := gomega.NewWithT(t)
	registry := NewRegistry()
	info := Info{ID: "r", Service: "m", Address: "127.0.0.1:1", Slots: 8, Started: 1}
	registry.Put(info)
	r := registry.Get("r")
	g.Expect(registry.Ready("m")).To(gomega.HaveLen(1))
	g.Expect(r.MarkLeaving(1)).To(gomega.BeTrue())
	g.Expect(r.MarkLeaving(1)).To(gomega.BeFalse(), "known")
	g.Expect(registry.Ready("m")).To(gomega.BeEmpty())
	g.Expect(registry.All()).To(gomega.HaveLen(1), "its requests go on")

	info.Slots = 9
	registry.Put(info)
	g.Expect(registry.Ready("m")).To(gomega.BeEmpty())

	info.Started = 2
	registry.Put(info)
	g.Expect(registry.Ready("m")).To(gomega.HaveLen(1))
	g.Expect(r.MarkLeaving(1)).To(gomega.BeFalse(), "the process before")
	g.Expect(registry.Ready("m")).To(gomega.HaveLen(1))
}
