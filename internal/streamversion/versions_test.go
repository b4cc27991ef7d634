package streamversion

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a stream that begins without a record at a new base version and is taken
// for one of the former base version by a node whose copy is some seconds old.
func TestStreamsAreRecordedUntilNewBaseVersionIsSettled(t *testing.T) {
	g := gomega.NewWithT(t)
	first := &Versions{Base: "v1"}
	g.Expect(first.unrecorded("v1", 0, false)).To(gomega.BeTrue())
	g.Expect(first.unrecorded("v2", time.Hour, true)).To(gomega.BeFalse())
	moved := first.with("v2").with("v3").moved("v2", time.Hour)
	g.Expect(moved.Others).To(gomega.ConsistOf(gomega.BeEquivalentTo("v3")))
	g.Expect(moved.unrecorded("v2", time.Hour+freshAge, true)).To(gomega.BeFalse())
	g.Expect(moved.unrecorded("v2", 0, false)).To(gomega.BeFalse(), "the store's clock is not known")
	g.Expect(moved.unrecorded("v2", time.Hour+settleTime, true)).To(gomega.BeTrue())
	g.Expect(moved.unrecorded("v1", 2*time.Hour, true)).To(gomega.BeFalse(), "the former base version has returned")
}
