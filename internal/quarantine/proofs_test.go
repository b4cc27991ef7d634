package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
)

// Guards against holding back the items of all jobs that share a template with one
// crashing item: no item with the template runs between the crashes and the decision,
// but many ran before.
func TestSoundPartBehindTheCrashingOneIsNotQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		f.harmless("n2", "sound", "template")
		time.Sleep(5 * time.Second)
		for range 4 {
			f.crash("n1", "crashing", "template")
			f.harmless("n0", "f")
		}
		time.Sleep(decisionTime)
		for id := range f.services {
			f.Expect(f.blocked(id, "template")).To(gomega.BeFalse())
			f.Expect(f.blocked(id, "crashing")).To(gomega.BeTrue())
		}
	})
}

// Guards against refusing a request that many callers send and that was always harmless,
// because all replicas that could prove it harmless again fail with their rack.
func TestHarmlessRequestIsNotQuarantinedWithAllItsReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		popular := RequestPart("h", "GET", "/front-page", nil)
		f.harmless("n2", popular)
		time.Sleep(5 * time.Second)
		for i := range minCrashes {
			f.services["n1"].sendReport(&report{Service: "m", Replica: core.ReplicaID(fmt.Sprintf("i-%d", i)), Parts: []Part{popular}})
		}
		time.Sleep(50 * time.Millisecond)
		f.harmless("n0", "other")
		time.Sleep(decisionTime)
		f.Expect(f.quarantinedRequests([]Part{popular})).To(gomega.Equal(0))
	})
}

// Guards against a request or a part that is never quarantined because it was harmless
// once, until the software of the replicas or a record that it reads changed.
func TestPartThatWasHarmlessOnceIsQuarantinedAfterASeries(t *testing.T) {
	for _, changed := range []Part{"changed", RequestPart("h", "GET", "/changed", nil)} {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, 3)
			f.harmless("n2", changed)
			time.Sleep(5 * time.Second)
			for range 4 {
				f.crash("n1", changed)
				f.harmless("n0", "f")
			}
			time.Sleep(decisionTime)
			f.Expect(f.blocked("n0", changed)).To(gomega.BeTrue())
		})
	}
}

// Guards against a request that goes on crashing replicas because one of them refused it
// with an error, which was taken for a proof that it is harmless.
func TestErrorProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		s := f.services["n0"]
		for part, failed := range map[Part]bool{"refused": true, "answered": false} {
			run, ok := s.Begin([]Part{part}, crashedReplica())
			f.Expect(ok).To(gomega.BeTrue())
			run.RecordWhole(time.Now(), failed, nil, true)
			run.End()
			f.Expect(s.proofs.get(part).IsZero()).To(gomega.Equal(failed))
		}
	})
}
