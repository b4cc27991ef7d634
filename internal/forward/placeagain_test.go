package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/replica"
)

// servedVersions is a Versions in which each version has replicas, or none.
type servedVersions struct {
	Versions
	served bool
}

func (v servedVersions) HasReplica(core.DeploymentID, core.SoftwareVersion) bool { return v.served }

// Guards against a stream that is broken off because no slot is free at one moment, after
// the replicas of its service were silent together, although its caller still waits; and
// against one that waits for a version that has no replica, or for longer than its caller.
func TestStreamThatIsRefusedASlotAsksAgain(t *testing.T) {
	for name, c := range map[string]struct {
		free          time.Duration // when a slot is free
		begun, served bool
		placed        bool
		ends          time.Duration // when the search ends, at the latest
	}{
		"a slot is free later":    {time.Second, true, true, true, 1300 * time.Millisecond},
		"the caller has left":     {5 * time.Second, true, true, false, 2 * time.Second},
		"the version is gone":     {time.Second, true, false, false, 0},
		"the stream has no event": {time.Second, false, true, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				st := newStandbyTest(0, c.free, answer(0))
				st.standby.stop(false)
				r, began := st.standby.r, time.Now()
				r.h.Versions = servedVersions{served: c.served}
				r.headerSent, r.begunAt = c.begun, &replica.Software{Service: "models", Version: "v1"}
				a := (&streamRelay{r: r, lastEvent: 1}).nextAttempt(t.Context())
				g.Expect(a != nil).To(gomega.Equal(c.placed))
				g.Expect(time.Since(began)).To(gomega.BeNumerically("<=", c.ends))
				if a != nil {
					a.cancel(nil)
				}
			})
		})
	}
}
