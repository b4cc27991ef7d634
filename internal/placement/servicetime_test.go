package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
)

// Guards against a hub that never measures the service time of a small service, assumes
// 0.8 s for requests of 60 ms and rejects what it could serve: 91 requests a second from 80
// nodes, each of which has none in flight for most of the time and then sends no counts.
func TestServiceTimeIsMeasuredWithNodesThatAreIdle(t *testing.T) {
	g := gomega.NewWithT(t)
	const work = 60 * time.Millisecond
	s, rng := newTestScheduler(3, 6), rand.New(rand.NewPCG(1, 1))
	now, next, sequence := time.UnixMilli(1e12), uint64(0), uint64(0)
	inFlight := make(map[core.NodeID]map[core.ReplicaID]int)
	ends := make(map[int64][]*assignment)
	report := func(node core.NodeID, confirmed ...uint64) {
		sequence++
		c := &nodeCounts{RunID: 1, Sequence: sequence, ConfirmedGrants: confirmed}
		for id, n := range inFlight[node] {
			if n > 0 {
				c.Replicas = append(c.Replicas, replicaCounts{ID: id, Online: n})
			}
		}
		s.receiveCounts(node, c, now)
	}
	for range 8000 {
		now = now.Add(time.Millisecond)
		for _, a := range ends[now.UnixMilli()] {
			inFlight[a.node][a.replica]--
			report(a.node)
		}
		if rng.Float64() < 0.091 {
			next++
			node := nodeName(rng.IntN(80))
			if _, a := s.place(node, testRequest(next), now); a != nil {
				if inFlight[node] == nil {
					inFlight[node] = make(map[core.ReplicaID]int)
				}
				inFlight[node][a.replica]++
				report(node, a.grantID)
				end := now.Add(work).UnixMilli()
				ends[end] = append(ends[end], a)
			}
		}
		if now.UnixMilli()%tickInterval.Milliseconds() == 0 {
			s.expire(now)
		}
	}
	g.Expect(s.serviceTime.seconds()).To(gomega.BeNumerically("~", work.Seconds(), 0.02))
}
