package jobs

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"runtime"
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
		for n := 1; ; n++ {
			written, err := io.WriteString(w, event(n))
			if err != nil {
				return
			}
			sent.Add(int64(written))
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
			exec := &Executor{Codec: signedCodec{}, Log: slog.New(slog.DiscardHandler)}
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

// Guards against an item that is never finished: a faulty replica filled its output, and
// each run after that fails at its first event.
func TestItemBeginsAnewAfterEndlessOutput(t *testing.T) {
	g := gomega.NewWithT(t)
	faulty, _ := endlessEngine(t, endlessEvents["one byte"])
	engine := newVersionEngine(t, "v1")
	registry := replica.NewRegistry()
	registry.Put(engine.info())
	exec := &Executor{Codec: resumeCodec{}, Log: slog.New(slog.DiscardHandler)}
	w := taskDue("x", time.Hour, 10, 0)
	w.item.Path, w.lastEvent = "/b/x", forward.NoResume
	g.Expect(exec.run(context.Background(), w, faulty)).To(gomega.Equal(outcomeBroken))
	g.Expect(exec.run(context.Background(), w, registry.Get("v1"))).To(gomega.Equal(outcomeSucceeded))
	g.Expect(string(w.output.text)).To(gomega.Equal(wholeText("v1")))
}
