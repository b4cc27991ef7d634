package jobs

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/forward"
	"gentiantide.example/gentiantide/internal/replica"
)

// maxOutputMemory is more than the heap of a node grows by one item: twice the limit of
// its text, copied once while it grows, and the buffers of both sides of the connection.
const maxOutputMemory = 16 << 20

// engineBlock is how many bytes an engine writes at once.
const engineBlock = 4 << 10

// endlessEvents are events that a faulty replica may send without end, by name. Each
// function returns the event with a number.
var endlessEvents = map[string]func(n int) string{
	"without data": func(int) string { return "data:\n\n" },
	"ID only":      func(n int) string { return fmt.Sprintf("id: %d\n\n", n) },
	"one byte":     func(n int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", n) },
	"long data":    func(n int) string { return fmt.Sprintf("id: %d\ndata: %01000d\n\n", n, n) },
}

// endlessEngine sends events until the connection is closed. It counts their bytes.
func endlessEngine(t *testing.T, event func(n int) string) (target *replica.Replica, sent *atomic.Int64) {
	sent = new(atomic.Int64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		var block strings.Builder
		for n := 1; ; n++ {
			block.WriteString(event(n))
			if block.Len() < engineBlock {
				continue
			}
			written, err := io.WriteString(w, block.String())
			if err != nil {
				return
			}
			sent.Add(int64(written))
			block.Reset()
		}
	}))
	t.Cleanup(server.Close)
	registry := replica.NewRegistry()
	registry.Put(replica.Info{ID: "i-1", Service: "m", Address: server.Listener.Addr().String(), Slots: 8})
	return registry.Get("i-1"), sent
}

// Guards against a node that exceeds the memory of its VM because a replica answers an
// item with events without end that hold next to no text.
func TestEndlessEventsOfAnItemStayWithinMemory(t *testing.T) {
	for name, event := range endlessEvents {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			target, sent := endlessEngine(t, event)
			exec := &Executor{Codec: signedCodec{}, Routes: noRoutes(), Log: slog.New(slog.DiscardHandler)}
			w := taskDue("x", time.Hour, 10, 0)
			w.item.Path, w.lastEvent = "/b/x", forward.NoResume
			before := liveHeap()
			g.Expect(exec.run(context.Background(), w, target)).To(gomega.Equal(outcomeBroken))
			g.Expect(int64(liveHeap())-int64(before)).To(gomega.BeNumerically("<", maxOutputMemory), "%d bytes sent", sent.Load())
			g.Expect(target.Ejected(time.Now())).To(gomega.BeTrue())
			runtime.KeepAlive(w)
		})
	}
}

// liveHeap returns the size of the heap without garbage.
func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// smallestVM is the memory of the smallest VMs that nodes run on.
const smallestVM = 112 << 20

// Guards against a node that exceeds the memory of its VM because all replicas of a
// service answer items with events without end, to many of them at once.
func TestEndlessEventsOfManyItemsStayWithinMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	// As in the daemon, which gives the collector half of the memory.
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(smallestVM / 2))
	target, _ := endlessEngine(t, endlessEvents["without data"])
	exec := &Executor{Codec: signedCodec{}, Routes: noRoutes(), Log: slog.New(slog.DiscardHandler)}
	before := liveHeap()
	var running atomic.Int64
	for range 16 {
		running.Add(1)
		go func() {
			defer running.Add(-1)
			w := taskDue("x", time.Hour, 10, 0)
			w.item.Path, w.lastEvent = "/b/x", forward.NoResume
			_ = exec.run(context.Background(), w, target)
		}()
	}
	var peak uint64
	for running.Load() > 0 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		peak = max(peak, stats.HeapAlloc)
		time.Sleep(time.Millisecond)
	}
	t.Logf("peak of the heap: %d MiB", (int64(peak)-int64(before))>>20)
	g.Expect(int64(peak) - int64(before)).To(gomega.BeNumerically("<", smallestVM))
}

// Guards against an item that is never finished: a faulty replica filled its output, and
// each run after that fails at its first event.
func TestItemBeginsAnewAfterEndlessOutput(t *testing.T) {
	g := gomega.NewWithT(t)
	faulty, _ := endlessEngine(t, endlessEvents["one byte"])
	engine := newVersionEngine(t, "v1")
	registry := replica.NewRegistry()
	registry.Put(engine.info())
	exec := &Executor{Codec: resumeCodec{}, Routes: noRoutes(), Log: slog.New(slog.DiscardHandler)}
	w := taskDue("x", time.Hour, 10, 0)
	w.item.Path, w.lastEvent = "/b/x", forward.NoResume
	g.Expect(exec.run(context.Background(), w, faulty)).To(gomega.Equal(outcomeBroken))
	g.Expect(exec.run(context.Background(), w, registry.Get("v1"))).To(gomega.Equal(outcomeSucceeded))
	g.Expect(string(w.output.text)).To(gomega.Equal(wholeText("v1")))
}
