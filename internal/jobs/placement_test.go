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
	"gentiantide.example/gentiantide/internal/quarantine"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/routetable"
)

// plainCodec adds no headers.
type plainCodec struct{ forward.Codec }

func (plainCodec) PromptParts(http.Header) []quarantine.Part                      { return nil }
func (plainCodec) ReplicaHeader(h http.Header, _ forward.SendOptions) http.Header { return h }
func (plainCodec) ResponseMatcher(string) func(http.Header) replica.Match         { return nil }

// localFreeSlots is the number of free slots that a replica needs to get an item.
const localFreeSlots = 3

// localPlacer places items like a node that cannot reach any other node.
type localPlacer struct {
	mu       sync.Mutex
	registry *replica.Registry
}

func (p *localPlacer) Place(ctx context.Context, q *placement.Query) (*replica.Replica, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.registry.Choose(&replica.Query{Service: q.Service, Tried: q.Tried, Version: q.Version, Now: time.Now(), MinFreeSlots: localFreeSlots})
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

// Guards against one dispatch sending all items to the same replica, for example
// the ten items of a new job to a replica with eight slots.
func TestDispatchSpreadsItemsOverReplicas(t *testing.T) {
	f := newFixture(t, "a/1")
	for _, id := range []core.ReplicaID{"i-1", "i-2"} {
		f.registry.Put(replica.Info{ID: id, Service: "m", Address: silentReplica(t), Slots: 8})
	}
	table := routetable.NewTable(1, routetable.Limits{}, []*routetable.Route{
		{Host: "h", Prefix: "/b/", Kind: routetable.KindBatch, Backends: []routetable.Backend{{Service: "m", Weight: 1}}},
	})
	f.runner.exec.Routes = &atomic.Pointer[routetable.Table]{}
	f.runner.exec.Routes.Store(table)
	f.runner.exec.Codec = plainCodec{}
	job := f.job("job", "1", "2", "3", "4", "5", "6", "7", "8", "9", "10", "11", "12", "13", "14", "15", "16")
	job.entry.Host = "h"
	for _, task := range job.pending {
		task.item.Path = "/b/x"
		task.lastEvent = forward.NoResume
	}
	placed := func() []int {
		f.runner.dispatch(time.Now())
		var out []int
		for _, r := range f.registry.All() {
			_, batch := r.LocalLoad()
			out = append(out, batch)
		}
		return out
	}
	most := 8 - localFreeSlots + 1
	f.Eventually(placed, eventuallyTimeout, "2ms").Should(gomega.Equal([]int{most, most}))
	f.Consistently(placed, "50ms", "2ms").Should(gomega.Equal([]int{most, most}))
	f.runner.mu.Lock()
	f.Expect(f.runner.searches[searchKey{software: replica.Software{Service: "m"}}]).To(gomega.BeNumerically("<=", maxSearches))
	f.runner.mu.Unlock()
	f.runner.mu.Lock()
	f.runner.drop(job, "test ends")
	f.runner.mu.Unlock()
}

// panickingCodec panics for each item that is sent.
type panickingCodec struct {
	plainCodec
	calls *atomic.Int64
}

func (c panickingCodec) ReplicaHeader(http.Header, forward.SendOptions) http.Header {
	c.calls.Add(1)
	panic("item that cannot be encoded")
}

// Guards against an item that ends the process, or that keeps its slot: a panic
// while it is sent must give back the slot and leave the item pending.
func TestPanicOfAnItemGivesItsSlotBack(t *testing.T) {
	f := newFixture(t, "a/1")
	f.registry.Put(replica.Info{ID: "i-1", Service: "m", Address: silentReplica(t), Slots: 8})
	table := routetable.NewTable(1, routetable.Limits{}, []*routetable.Route{
		{Host: "h", Prefix: "/b/", Kind: routetable.KindBatch, Backends: []routetable.Backend{{Service: "m", Weight: 1}}},
	})
	f.runner.exec.Routes.Store(table)
	codec := panickingCodec{calls: &atomic.Int64{}}
	f.runner.exec.Codec = codec
	job := f.job("job", "1")
	job.entry.Host = "h"
	job.pending[0].item.Path = "/b/x"
	f.Eventually(func() int64 { f.runner.dispatch(time.Now()); return codec.calls.Load() }, eventuallyTimeout, "2ms").Should(gomega.BeNumerically(">=", 2))
	f.Eventually(func() int { _, pending, _ := f.runner.JobCounts(); return pending }, eventuallyTimeout, "1ms").Should(gomega.Equal(1))
	f.Eventually(func() int { _, batch := f.registry.Get("i-1").LocalLoad(); return batch }, eventuallyTimeout, "1ms").Should(gomega.Equal(0))
	f.runner.mu.Lock()
	f.runner.drop(job, "test ends")
	f.runner.mu.Unlock()
}
