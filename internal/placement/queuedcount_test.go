package placement

import (
	"log/slog"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/nodes"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/replica"
)

// Guards against log lines that count a request again each time its node asks for it: in a
// long queue they said 1,800 requests a second where the replicas take 850.
func TestQueuedRequestIsCountedOnce(t *testing.T) {
	g, log := gomega.NewWithT(t), slog.New(slog.DiscardHandler)
	registry := replica.NewRegistry()
	registry.Put(oneReplica(1)[0])
	h := newHub(&Options{Transport: peer.New("a", log), Registry: registry, Log: log}, nil)
	h.firstHub = func(group) *nodes.Record { return nil }
	h.announced = func(group, time.Time) bool { return false }
	h.formerServiceTime = func(group) time.Duration { return 0 }
	h.formerDemands = func(group, time.Time) *usualDemands { return nil }
	for _, id := range []uint64{1, 2, 2, 2} {
		req := testRequest(id)
		req.Group = testGroup
		body, err := msgpack.Marshal(req)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = h.handleRequest(t.Context(), "b", body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(h.groups[testGroup].queuedSinceLog).To(gomega.Equal(1))
}
