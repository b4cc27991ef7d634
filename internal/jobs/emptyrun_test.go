package jobs

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/forward"
	"gentiantide.example/gentiantide/internal/replica"
)

// lostEndEngine breaks the first run off after its last event. A run that resumes there
// has no events, and its end is that of the connection, as if it were cut before its
// first event. Other runs are whole.
func lostEndEngine(t *testing.T) *httptest.Server {
	var runs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if last, _ := strconv.Atoi(r.Header.Get("Resume-After")); last == 3 {
			w.Header().Set("Connection", "close")
			w.Header().Set("Transfer-Encoding", "identity") // neither a length nor chunks
			w.WriteHeader(http.StatusOK)
			return
		}
		_, _ = w.Write([]byte("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"))
		if runs.Add(1) == 1 {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(server.Close)
	return server
}

// Guards against an item that is never finished because the run that brought its last
// event lost its end: each run that resumes it has nothing to send.
func TestItemThatLostItsEndBeginsAnew(t *testing.T) {
	g := gomega.NewWithT(t)
	registry := replica.NewRegistry()
	registry.Put(replica.Info{ID: "i-1", Service: "m", Address: lostEndEngine(t).Listener.Addr().String(), Slots: 8})
	exec := &Executor{Codec: resumeCodec{}, Routes: noRoutes(), Log: slog.New(slog.DiscardHandler)}
	w := taskDue("x", time.Hour, 10, 0)
	w.item.Path, w.lastEvent = "/b/x", forward.NoResume
	var outcomes []runOutcome
	suspect := false
	for range 2 + maxEmptyRuns {
		outcomes = append(outcomes, exec.run(context.Background(), w, registry.Get("i-1")))
		suspect = suspect || w.crashed
	}
	g.Expect(outcomes).To(gomega.Equal([]runOutcome{outcomeBroken, outcomeBroken, outcomeBroken, outcomeSucceeded}))
	g.Expect(string(w.output.text)).To(gomega.Equal("1\n2\n3"))
	g.Expect(suspect).To(gomega.BeFalse(), "an item whose output had begun crashed no replica")
}
