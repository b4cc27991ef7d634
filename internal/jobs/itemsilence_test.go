package jobs

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/forward"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/routetable"
)

// pausingEngine resumes an item of three events, and is silent in each run for a little
// longer than the shortest stall timeout once it has sent some.
func pausingEngine(t *testing.T, pauseAfter int) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_ = http.NewResponseController(w).Flush()
		last, _ := strconv.Atoi(r.Header.Get("Resume-After"))
		last = max(0, last)
		for id := last + 1; id <= 3; id++ {
			if id == last+1+pauseAfter {
				select {
				case <-r.Context().Done():
					return
				case <-time.After(itemStallTimeout + 100*time.Millisecond):
				}
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", id, id)
			_ = http.NewResponseController(w).Flush()
		}
	}))
	t.Cleanup(server.Close)
	return server
}

// Guards against an item that is never finished although its replica is sound: of two
// replicas, one declines the item each time, and the other one is silent for a little
// longer than the shortest stall timeout, each time, after its head or its first event.
func TestItemIsFinishedByAReplicaThatIsSilentEachTime(t *testing.T) {
	declining := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }))
	t.Cleanup(declining.Close)
	for name, pauseAfter := range map[string]int{"after the head": 0, "after an event": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			registry := replica.NewRegistry()
			registry.Put(replica.Info{ID: "i-1", Service: "m", Address: declining.Listener.Addr().String(), Slots: 8})
			registry.Put(replica.Info{ID: "i-2", Service: "m", Address: pausingEngine(t, pauseAfter).Listener.Addr().String(), Slots: 8})
			exec := &Executor{Codec: resumeCodec{}, Routes: noRoutes(), Log: slog.New(slog.DiscardHandler)}
			w := taskDue("x", time.Hour, 10, 0)
			w.item.Path, w.lastEvent = "/b/x", forward.NoResume
			var outcomes []runOutcome
			for _, id := range []core.ReplicaID{"i-1", "i-2", "i-1", "i-2"} {
				outcomes = append(outcomes, exec.run(context.Background(), w, registry.Get(id)))
			}
			g.Expect(outcomes).To(gomega.Equal([]runOutcome{outcomeDeclined, outcomeBroken, outcomeDeclined, outcomeSucceeded}))
			g.Expect(string(w.output.text)).To(gomega.Equal("1\n2\n3"))
			g.Expect(w.silence).To(gomega.Equal(itemSilence{}), "the item's output has gone on")
		})
	}
}

// Guards against a stall timeout that grows without bound, for runs that did not end by
// silence, or after output: runs given up for silence, declined, preempted or resumed.
func TestStallTimeoutGrowsWithSilentRunsOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	var s itemSilence
	for _, outcome := range []runOutcome{outcomeDeclined, outcomeNotRun, outcomeBroken, outcomeFailed} {
		s.recordEnd("i-1", outcome, false, 0)
	}
	s.recordEnd("i-1", outcomePreempted, true, 0)
	g.Expect(s.timeout(false)).To(gomega.Equal(itemStallTimeout))
	var timeouts []time.Duration
	for range 4 {
		s.recordEnd("i-2", outcomeBroken, true, 2)
		timeouts = append(timeouts, s.timeout(false))
		g.Expect(s.timeout(true)).To(gomega.Equal(itemStallTimeout))
	}
	g.Expect(timeouts).To(gomega.Equal([]time.Duration{2 * itemStallTimeout, maxItemStallTimeout, maxItemStallTimeout, maxItemStallTimeout}))
	g.Expect(s.hasTried("i-2")).To(gomega.BeTrue())
	g.Expect(s.recordProgress(2)).To(gomega.BeFalse(), "an event that the silent runs brought too")
	g.Expect(s.timeout(false)).To(gomega.Equal(maxItemStallTimeout))
	g.Expect(s.recordProgress(3)).To(gomega.BeTrue())
	g.Expect(s.timeout(false)).To(gomega.Equal(itemStallTimeout))
	g.Expect(s.hasTried("i-2")).To(gomega.BeFalse())
}

// Guards against an item that is due soon and waits at a silent replica although another
// one may take it: due in 2 s, with one run given up at a replica that is chosen again.
func TestItemDueSoonLeavesASilentReplica(t *testing.T) {
	route := &routetable.Route{Backends: []routetable.Backend{{Service: "m", Weight: 1}}}
	for name, c := range map[string]struct {
		due         time.Duration
		silentRuns  int
		other, left bool
	}{
		"due soon, another replica":      {2 * time.Second, 1, true, true},
		"due soon, no other replica":     {2 * time.Second, 1, false, false},
		"due later, another replica":     {time.Minute, 1, true, false},
		"past its time, another replica": {-time.Second, 1, true, false},
		"due soon, no run was given up":  {2 * time.Second, 0, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "a/1")
			f.registry.Put(replica.Info{ID: "i-1", Service: "m", Slots: 8})
			if c.other {
				f.registry.Put(replica.Info{ID: "i-2", Service: "m", Slots: 8})
			}
			clock, _ := f.runner.clock()
			task := taskDue("x", clock+c.due, 10, 0)
			for range c.silentRuns {
				task.silence.recordEnd("i-1", outcomeBroken, true, 2)
			}
			leaves := func() bool {
				f.runner.mu.Lock()
				defer f.runner.mu.Unlock()
				return f.runner.goesElsewhere(task, route, f.registry.Get("i-1"), time.Now())
			}
			f.Expect(leaves()).To(gomega.Equal(c.left))
			task.silence.recordEnd("i-2", outcomeDeclined, false, 0)
			f.Expect(leaves()).To(gomega.BeFalse(), "each replica was tried")
		})
	}
}

// Guards against a run that is not told that its item goes elsewhere: an item that is due
// in 2 s starts again at the replica that was silent for it, and another one is free.
func TestRunOfItemDueSoonHasTheShortestStallTimeout(t *testing.T) {
	f := newFixture(t, "a/1")
	for _, id := range []core.ReplicaID{"i-1", "i-2"} {
		f.registry.Put(replica.Info{ID: id, Service: "m", Address: silentReplica(t), Slots: 8})
	}
	job := f.job("job", "1")
	f.runner.mu.Lock()
	defer f.runner.mu.Unlock()
	clock, _ := f.runner.clock()
	task, target := job.pending[0], f.registry.Get("i-1")
	job.entry.Due = clock + 2*time.Second
	task.silence.recordEnd("i-1", outcomeBroken, true, 2)
	target.Begin(core.ClassBatch)
	f.runner.startItem(task, &routetable.Route{Backends: []routetable.Backend{{Service: "m", Weight: 1}}}, target)
	f.Expect(task.elsewhere).To(gomega.BeTrue())
	f.runner.drop(job, "test ends")
}

// Guards against a replica that fails once the output goes on and holds the item for the
// grown time: two runs were given up before, and this one is silent after its first event.
func TestStallTimeoutFallsBackWithinARun(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte("id: 1\ndata: 1\n\n"))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer server.Close()
	registry := replica.NewRegistry()
	registry.Put(replica.Info{ID: "i-1", Service: "m", Address: server.Listener.Addr().String(), Slots: 8})
	exec := &Executor{Codec: resumeCodec{}, Routes: noRoutes(), Log: slog.New(slog.DiscardHandler)}
	w := taskDue("x", time.Hour, 10, 0)
	w.item.Path, w.lastEvent, w.silence.runs = "/b/x", forward.NoResume, 2
	start := time.Now()
	g.Expect(exec.run(context.Background(), w, registry.Get("i-1"))).To(gomega.Equal(outcomeBroken))
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", maxItemStallTimeout/2))
	g.Expect(w.silence.runs).To(gomega.Equal(1))
}
