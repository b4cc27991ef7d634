package jobs

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/forward"
	"gentiantide.example/gentiantide/internal/replica"
)

// runEnds lets a run of an item end, after a crash or after its first event.
func runEnds(g *suspectGate, task *itemTask, crashed bool, now time.Time) {
	task.crashed = crashed
	task.begun.Store(!crashed)
	g.end(task, now)
}

// Guards against a job whose items crash replicas and take all of them down at once, again
// when these are back.
func TestSuspectsRunOneAtATime(t *testing.T) {
	g := gomega.NewWithT(t)
	gate, now := &suspectGate{}, time.Now()
	a, b, sound := taskDue("a", time.Hour, 10, 0), taskDue("b", time.Hour, 10, 0), taskDue("sound", time.Hour, 10, 0)
	startable := func() []string { return itemIDs(gate.filter([]*itemTask{a, b, sound}, now)) }
	g.Expect(startable()).To(gomega.Equal([]string{"a", "b", "sound"}))
	for _, task := range []*itemTask{a, b} {
		gate.start(task)
		runEnds(gate, task, true, now)
	}
	g.Expect(startable()).To(gomega.Equal([]string{"sound"}), "the quarantine decides first")
	now = now.Add(suspectDelay)
	g.Expect(a.notBefore).To(gomega.Equal(now))
	g.Expect(startable()).To(gomega.Equal([]string{"a", "sound"}))
	gate.start(a)
	g.Expect(startable()).To(gomega.Equal([]string{"sound"}))
	a.begun.Store(true)
	g.Expect(startable()).To(gomega.Equal([]string{"a", "sound"}), "the next suspect, whichever it is")
	runEnds(gate, a, true, now)
	g.Expect(a.notBefore).To(gomega.Equal(now.Add(2 * suspectDelay)))
	for range 10 {
		runEnds(gate, a, true, now)
	}
	g.Expect(a.notBefore).To(gomega.Equal(now.Add(maxSuspectDelay)))
}

// Guards against items that run one at a time for good because their replicas crashed for
// another reason.
func TestBegunItemIsNoSuspect(t *testing.T) {
	g := gomega.NewWithT(t)
	gate, now := &suspectGate{}, time.Now()
	task := taskDue("a", time.Hour, 10, 0)
	gate.start(task)
	runEnds(gate, task, true, now)
	g.Expect(task.suspect()).To(gomega.BeTrue())
	gate.start(task)
	runEnds(gate, task, false, now)
	g.Expect(task.suspect()).To(gomega.BeFalse())
}

// Guards against an item that is sent from one replica to the next at once although it
// may have crashed the first, and against suspects that are none: those whose replica was
// unreachable, and those of which a run has begun.
func TestOnlyRunsThatMayHaveCrashedTheirReplicaMakeSuspects(t *testing.T) {
	closes := func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }
	for name, c := range map[string]struct {
		serve   http.HandlerFunc
		begun   bool
		suspect bool
	}{
		"connection closed":               {closes, false, true},
		"connection closed, begun before": {closes, true, false},
		"failure":                         {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, false, false},
		"unreachable":                     {nil, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			server := httptest.NewServer(c.serve)
			defer server.Close()
			if c.serve == nil {
				server.Close()
			}
			registry := replica.NewRegistry()
			registry.Put(replica.Info{ID: "i-1", Service: "m", Address: server.Listener.Addr().String(), Slots: 8})
			exec := &Executor{Codec: resumeCodec{}, Routes: noRoutes(), Log: slog.New(slog.DiscardHandler)}
			w := taskDue("x", time.Hour, 10, 0)
			w.item.Path, w.lastEvent = "/b/x", forward.NoResume
			if c.begun {
				w.output, w.lastEvent, w.begunAt = newItemOutput([][]byte{[]byte("1")}), 1, softwareOf("")
			}
			g.Expect(exec.run(context.Background(), w, registry.Get("i-1"))).To(gomega.Equal(outcomeBroken))
			g.Expect(w.crashed).To(gomega.Equal(c.suspect))
		})
	}
}
