package jobs

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/forward"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/routes"
)

// plainCodec adds no headers.
type plainCodec struct{ forward.Codec }

func (plainCodec) ReplicaHeader(h http.Header, _ forward.Send) http.Header { return h }
func (plainCodec) Belongs(string) func(http.Header) bool                   { return nil }

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
		b.runner.exec.Registry.Put(replica.Info{ID: id, Service: "m", Address: silentReplica(t), Slots: 8})
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
	b.runner.dispatch(time.Now())
	for _, r := range b.runner.exec.Registry.All() {
		_, batch := r.Own()
		b.Expect(batch).To(gomega.Equal(8 - freeSlots + 1))
	}
	b.runner.mu.Lock()
	b.runner.drop(job, "test ends")
	b.runner.mu.Unlock()
}
