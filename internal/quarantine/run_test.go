package quarantine

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/replica"
)

// Guards against sound items that are quarantined because they were the first to be sent
// to replicas that had failed before: of ten kinds of items, one had three crashes at
// different moments, and all its items were held for a minute. The load: three replicas
// that fail again after they have failed.
func TestRunAtAReplicaThatFailsAnywayIsNoSuspect(t *testing.T) {
	for failing, quarantined := range map[bool]bool{true: false, false: true} {
		f := newTestFleet(t, 2)
		for i := range 3 {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			f.Expect(err).NotTo(gomega.HaveOccurred())
			f.Expect(l.Close()).To(gomega.Succeed()) // the replica refuses connections
			registry := replica.NewRegistry()
			id := core.ReplicaID(own(i))
			registry.Put(replica.Info{ID: id, Service: "m", Address: l.Addr().String(), Slots: 8})
			target := registry.Get(id)
			if failing {
				target.SetStanding(replica.Standing{OnProbation: true, At: time.Now()})
			}
			run, ok := f.services["n1"].Begin([]Part{"items"}, target)
			f.Expect(ok).To(gomega.BeTrue())
			run.RecordEnd(io.EOF, false)
			run.End()
			time.Sleep(200 * time.Millisecond)
		}
		f.harmless("n0", "other")
		f.Eventually(func() bool { return f.blocked("n1", "items") == quarantined }, 5*decisionTime, "50ms").Should(gomega.BeTrue())
		if !quarantined {
			f.Consistently(func() bool { return f.blocked("n1", "items") }, 2*decisionTime, "50ms").Should(gomega.BeFalse())
		}
	}
}
