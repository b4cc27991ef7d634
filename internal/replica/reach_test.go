package replica

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/replica/replicatest"
)

// silentAddress returns an address that answers no attempt to connect, as behind a cut.
func silentAddress(t *testing.T) string {
	gm := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gm.Expect(err).NotTo(gomega.HaveOccurred())
	dark := &replicatest.DarkListener{TCPListener: listener.(*net.TCPListener)}
	t.Cleanup(func() { dark.Close() })
	gm.Expect(dark.GoDark()).To(gomega.Succeed())
	return listener.Addr().String()
}

// Guards against requests that are lost one after the other in a data centre that is cut
// off, and against a data centre that is given up because one machine has crashed.
func TestCheckReachMarksASilentDataCentre(t *testing.T) {
	gm := gomega.NewWithT(t)
	silent := silentAddress(t)
	for _, tc := range []struct {
		name      string
		addresses []string
		marked    int
	}{
		{"cut off", []string{silent, silent, silent, silent}, 4},
		{"one refuses", []string{silent, silent, "127.0.0.1:1"}, 0},
		{"too few to tell", []string{silent, silent}, 0},
	} {
		g := NewRegistry()
		for i, address := range tc.addresses {
			g.Put(Info{ID: core.ReplicaID(fmt.Sprint(i)), Service: "m", Address: address, DataCentre: "x", Slots: 8})
		}
		g.Put(Info{ID: "other", Service: "m", Address: silent, DataCentre: "y", Slots: 8})
		gm.Expect(g.CheckReach(t.Context(), "x")).To(gomega.HaveLen(tc.marked), tc.name)
		gm.Expect(g.Get("other").Ejected(time.Now())).To(gomega.BeFalse(), tc.name)
	}
}

// Guards against replicas that stay unused for up to a second after the end of a cut,
// while messages come from their data centre again.
func TestProbeSoonRestoresADataCentre(t *testing.T) {
	gm := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gm.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	g := NewRegistry()
	for i := range 6 {
		g.Put(Info{ID: core.ReplicaID(fmt.Sprint(i)), Service: "m", Address: listener.Addr().String(), DataCentre: "x", Slots: 8})
		g.Get(core.ReplicaID(fmt.Sprint(i))).MarkUnreachable(time.Now())
	}
	g.ProbeSoon("y")
	gm.Consistently(func() bool { return g.Get("0").Ejected(time.Now()) }, "50ms").Should(gomega.BeTrue())
	g.ProbeSoon("x")
	gm.Eventually(func() int {
		n := 0
		for _, r := range g.All() {
			if !r.unreachable.Load() {
				n++
			}
		}
		return n
	}, "300ms", "1ms").Should(gomega.BeNumerically(">=", reachSamples))
	gm.Eventually(func() bool {
		g.CheckHealth(time.Now()) // as the node does all the time
		for _, r := range g.All() {
			if r.Ejected(time.Now()) {
				return false
			}
		}
		return true
	}, "300ms", "1ms").Should(gomega.BeTrue())
}
