package jobs

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/forward"
	"gentiantide.example/gentiantide/internal/placement"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/routes"
)

// plainCodec adds no headers.
type plainCodec struct{ forward.Codec }

func (plainCodec) ReplicaHeader(h http.Header, _ forward.Send) http.Header { return h }
func (plainCodec) Belongs(string) func(http.Header) bool                   { return nil }

// localRoom is the number of free slots that a replica needs for an item.
const localRoom = 3

// localPlacer places items as a node does that reaches no other.
type localPlacer struct {
	mu       sync.Mutex
	registry *replica.Registry
}

func (p *localPlacer) Place(ctx context.Context, q *placement.Query) (*replica.Replica, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.registry.Choose(&replica.Query{Service: q.Service, Now: time.Now(), Room: localRoom})
	if r != nil {
		r.Begin(q.Class)
	}
	return r, 0
}

// silentReplica accepts connections and never answers.
func silentReplica(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// Guards against items of one look at the replicas that all go to the same one:
// a job of ten items at once, on replicas with eight slots.
func TestItemsPlacedTogetherSpread(t *testing.T) {
	b := newBench(t, "a/1")
	for _, id := range []core.ReplicaID{"i-1", "i-2"} {
		b.registry.Put(replica.Info{ID: id, Service: "m", Address: silentReplica(t), Slots: 8})
	}
	table := routes.NewTable(1, routes.Limits{}, []*routes.Route{
		{Host: "h", Prefix: "/b/", Kind: routes.KindBatch, Backends: []routes.Backend{{Service: "m", Weight: 1}}},
	})
	b.runner.exec.Routes = &atomic.Pointer[routes.Table]{}
	b.runner.exec.Routes.Store(table)
	b.runner.exec.Codec = plainCodec{}
	job := b.job("job", "1", "2", "3", "4", "5", "6", "7", "8", "9", "10", "11", "12", "13", "14", "15", "16")
	job.entry.Host = "h"
	for _, w := range job.pending {
		w.item.Path = "/b/x"
		w.last = forward.NoResume
	}
	placed := func() []int {
		b.runner.dispatch(time.Now())
		var out []int
		for _, r := range b.registry.All() {
			_, batch := r.Own()
			out = append(out, batch)
		}
		return out
	}
	most := 8 - localRoom + 1
	b.Eventually(placed, testSettle, "2ms").Should(gomega.Equal([]int{most, most}))
	b.Consistently(placed, "50ms", "2ms").Should(gomega.Equal([]int{most, most}))
	b.runner.mu.Lock()
	b.Expect(b.runner.seeking["m"]).To(gomega.BeNumerically("<=", maxSeeking))
	b.runner.mu.Unlock()
	b.runner.mu.Lock()
	b.runner.drop(job, "test ends")
	b.runner.mu.Unlock()
}
