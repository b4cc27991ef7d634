package replica

import (
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
)

// Changes made in Coalesce must be published as one view at its end. Publishing a
// view per change makes the start-up time quadratic in the number of replicas; not
// publishing at the end leaves the changes invisible.
func TestNestedChangesPublishOneView(t *testing.T) {
	g := gomega.NewWithT(t)
	r := NewRegistry()
	r.Put(Info{ID: "first", Service: "m"})
	r.Coalesce(func() {
		before := r.view.Load()
		r.Coalesce(func() {
			for i := range 100 {
				r.Put(Info{ID: core.ReplicaID(strconv.Itoa(i)), Service: "m"})
			}
		})
		r.Remove("first")
		g.Expect(r.view.Load()).To(gomega.BeIdenticalTo(before))
	})
	g.Expect(r.Ready("m")).To(gomega.HaveLen(100))
	g.Expect(r.Get("first")).To(gomega.BeNil())
	r.Put(Info{ID: "last", Service: "m"})
	g.Expect(r.Ready("m")).To(gomega.HaveLen(101))
}

// BenchmarkRegisterReplicas measures the start-up of a node that reads the
// registrations of 3,000 replicas.
func BenchmarkRegisterReplicas(b *testing.B) {
	for b.Loop() {
		r := NewRegistry()
		r.Coalesce(func() {
			for i := range 3000 {
				r.Put(Info{ID: core.ReplicaID(strconv.Itoa(i)), Service: "m"})
			}
		})
	}
}

// Guards against a new process of a replica that is ejected for the failures of the one
// before, if its registration does not name its start.
func TestAnotherVersionIsAnotherProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	r := NewRegistry()
	r.Put(Info{ID: "r", Service: "m", Version: "v1"})
	r.Get("r").RecordFailure(time.Now())
	r.Put(Info{ID: "r", Service: "m", Version: "v2"})
	g.Expect(r.Get("r").Ejected(time.Now())).To(gomega.BeFalse())
}
