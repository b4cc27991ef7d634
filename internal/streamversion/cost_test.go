package streamversion

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/infra/infratest"
)

// inBubble runs a test with one node and a replica of v1, in a bubble whose clock runs
// only while all wait.
func inBubble(t *testing.T, run func(g *gomega.WithT, rows *infratest.Rows, n *testNode)) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(afterProcessStart)
		rows := infratest.NewRows()
		register(rows, "v1", true)
		n := startNode(rows, "n")
		time.Sleep(time.Second)
		run(gomega.NewWithT(t), rows, n)
		n.cancel()
		time.Sleep(time.Minute) // calls in progress end
	})
}

func (l *link) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// Guards against a call to the store for each stream of a service that has one version,
// and for each caller that returns after all nodes were killed.
func TestStreamsOfOneVersionCostNoCalls(t *testing.T) {
	inBubble(t, func(g *gomega.WithT, rows *infratest.Rows, n *testNode) {
		before := n.link.count()
		for i := range 100 {
			recording, recorded, delivered := n.begin(fmt.Sprint("stream-", i), "v1")
			g.Expect(recorded && delivered).To(gomega.BeTrue())
			recording.End()
		}
		g.Expect(n.link.count()).To(gomega.Equal(before))

		other := startNode(rows, "other")
		defer other.cancel()
		time.Sleep(time.Second)
		before = other.link.count()
		rows.SetFaultPlan(infratest.FaultPlan{Delay: 5 * time.Millisecond})
		var wait sync.WaitGroup
		for i := range 100 {
			wait.Go(func() {
				origin, err := other.Resolve(context.Background(), testService, fmt.Sprint("stream-", i))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(origin).To(gomega.Equal(Origin{Version: "v1", Source: SourceOnly}))
			})
		}
		wait.Wait()
		g.Expect(other.link.count()-before).To(gomega.BeNumerically("<=", 2), "reads of the versions")
	})
}

// Guards against a transaction for each stream of a burst at a new version, and against
// rows that are never deleted.
func TestRecordsAreWrittenTogetherAndDeleted(t *testing.T) {
	inBubble(t, func(g *gomega.WithT, rows *infratest.Rows, n *testNode) {
		register(rows, "v2", true)
		time.Sleep(time.Second)
		rows.SetFaultPlan(infratest.FaultPlan{Delay: 5 * time.Millisecond})
		before := n.link.count()
		var wait sync.WaitGroup
		for i := range 400 {
			wait.Go(func() {
				recording, recorded, _ := n.begin(fmt.Sprint("stream-", i), "v2")
				g.Expect(recorded).To(gomega.BeTrue())
				recording.End()
			})
		}
		wait.Wait()
		g.Expect(n.link.count()-before).To(gomega.BeNumerically("<=", 4*numPartitions), "transactions")
		g.Expect(recordsOf(rows)).To(gomega.Equal(400))
		time.Sleep(testLife + recordMargin + 2*maxDeleteDelay)
		g.Expect(recordsOf(rows)).To(gomega.Equal(0))
	})
}

// Guards against rows of a killed node that are never deleted.
func TestRecordsOfKilledNodeAreDeleted(t *testing.T) {
	inBubble(t, func(g *gomega.WithT, rows *infratest.Rows, n *testNode) {
		register(rows, "v2", true)
		time.Sleep(time.Second)
		_, recorded, _ := n.begin("stream", "v2")
		g.Expect(recorded).To(gomega.BeTrue())
		n.cancel()
		other := startNode(rows, "other")
		defer other.cancel()
		time.Sleep(testLife / 2)
		g.Expect(recordsOf(rows)).To(gomega.Equal(1))
		time.Sleep(testLife + recordMargin + 2*sweepInterval)
		g.Expect(recordsOf(rows)).To(gomega.Equal(0))
	})
}
