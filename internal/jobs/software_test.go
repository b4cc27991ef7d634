package jobs

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/forward"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/routetable"
)

// resumeCodec asks a replica to resume with a header of these tests.
type resumeCodec struct{ signedCodec }

func (resumeCodec) ReplicaHeader(h http.Header, send forward.SendOptions) http.Header {
	h = h.Clone()
	if send.ResumeAfter != forward.NoResume {
		h.Set("Resume-After", strconv.FormatInt(send.ResumeAfter, 10))
	}
	return h
}

// versionEngine streams three events that name its version, or those after the one that
// it is asked to resume after.
type versionEngine struct {
	*httptest.Server
	version core.SoftwareVersion
	runs    atomic.Int64
	// hold, if set, delays what follows the first event.
	hold chan struct{}
}

func newVersionEngine(t *testing.T, version core.SoftwareVersion) *versionEngine {
	e := &versionEngine{version: version}
	e.Server = httptest.NewServer(e)
	t.Cleanup(e.Close)
	return e
}

func (e *versionEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.runs.Add(1)
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Resume-After"))
	for id := last + 1; id <= 3; id++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", id, e.version, id)
		_ = http.NewResponseController(w).Flush()
		if e.hold != nil {
			<-e.hold
		}
	}
}

func (e *versionEngine) info() replica.Info {
	return replica.Info{ID: core.ReplicaID(e.version), Service: "m", Address: e.Listener.Addr().String(), Slots: 8, Version: e.version}
}

// wholeText is the output of an item that ran at one version only.
func wholeText(version core.SoftwareVersion) string {
	return fmt.Sprintf("%s 1\n%s 2\n%s 3", version, version, version)
}

// softwareOf returns a version of service m.
func softwareOf(version core.SoftwareVersion) *replica.Software {
	return &replica.Software{Service: "m", Version: version}
}

// itemWithOutput starts a job with one item, of which a former owner has passed on the
// first event.
func itemWithOutput(f *fixture, progress itemProgress) *itemTask {
	f.runner.exec.Codec = resumeCodec{}
	f.runner.exec.Routes.Store(routetable.NewTable(1, routetable.Limits{}, []*routetable.Route{
		{Host: "h", Prefix: "/b/", Kind: routetable.KindBatch, Backends: []routetable.Backend{{Service: "m", Weight: 1}}},
	}))
	job := f.job("job", "x")
	f.runner.mu.Lock()
	defer f.runner.mu.Unlock()
	job.entry.Host = "h"
	job.pending[0].item.Path = "/b/x"
	progress.Item, progress.EventData, progress.LastEvent = "x", [][]byte{[]byte("v1 1")}, 1
	job.applyProgress([]itemProgress{progress}, time.Now())
	return job.pending[0]
}

// text dispatches until the item has a result and returns its text.
func (f *fixture) text() string {
	var out string
	f.Eventually(func() bool {
		f.runner.dispatch(time.Now())
		results, _, err := f.store.results(context.Background(), "job", 0)
		f.Expect(err).NotTo(gomega.HaveOccurred())
		if len(results) == 0 {
			return false
		}
		out = results[0].Text
		return true
	}, eventuallyTimeout, "5ms").Should(gomega.BeTrue())
	return out
}

// Guards against output that a node of an earlier build passes on without its version
// and that goes on at any.
func TestOutputOfUnknownVersionIsNotUsed(t *testing.T) {
	for name, want := range map[string]string{"earlier build": wholeText("v2"), "this build": "v1 1\nv2 2\nv2 3"} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "a/1")
			engine := newVersionEngine(t, "v2")
			f.registry.Put(engine.info())
			data, err := msgpack.Marshal(map[string]any{"i": "x", "t": time.Millisecond, "f": 1})
			f.Expect(err).NotTo(gomega.HaveOccurred())
			var progress itemProgress
			f.Expect(msgpack.Unmarshal(data, &progress)).To(gomega.Succeed())
			if name == "this build" {
				progress.Software = softwareOf("v2")
			}
			task := itemWithOutput(f, progress)
			f.Expect(task.failures).To(gomega.Equal(1))
			f.Expect(f.text()).To(gomega.Equal(want))
		})
	}
}

// Guards against an item that waits for a replica of its version for longer than it
// takes to begin anew, and against output that is thrown away while its version serves.
func TestItemWaitsForItsVersion(t *testing.T) {
	for name, c := range map[string]struct {
		runTime time.Duration
		waited  time.Duration // when a replica of another version has been free for a while
		anew    bool
	}{
		"little output": {runTime: time.Millisecond, waited: minSoftwareWait, anew: true},
		"much output":   {runTime: time.Minute, waited: minSoftwareWait},
		"long wait":     {runTime: time.Minute, waited: time.Minute, anew: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "a/1")
			own, other := newVersionEngine(t, "v1"), newVersionEngine(t, "v2")
			f.registry.Put(own.info())
			f.registry.Put(other.info())
			busy := f.registry.Get("v1")
			for range busy.Info().Slots {
				busy.Begin(core.ClassOnline)
			}
			task := itemWithOutput(f, itemProgress{Software: softwareOf("v1"), RunTime: c.runTime})
			f.Consistently(func() int64 { f.runner.dispatch(time.Now()); return other.runs.Load() }, "200ms", "5ms").Should(gomega.BeZero())
			f.runner.mu.Lock()
			task.progressAt = time.Now().Add(-c.waited)
			f.runner.mu.Unlock()
			if c.anew {
				f.Expect(f.text()).To(gomega.Equal(wholeText("v2")))
				return
			}
			f.Consistently(func() int64 { f.runner.dispatch(time.Now()); return other.runs.Load() }, "200ms", "5ms").Should(gomega.BeZero())
			for range busy.Info().Slots {
				busy.End(core.ClassOnline)
			}
			f.Expect(f.text()).To(gomega.Equal(wholeText("v1")))
		})
	}
}

// Guards against output that is joined from two versions because a replica starts again
// with another one under its ID, before the item is sent to it or while it runs.
func TestItemAtReplicaThatRestarts(t *testing.T) {
	for name, whileItRuns := range map[string]bool{"before the item is sent": false, "while it runs": true} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			engine := newVersionEngine(t, "v1")
			engine.hold = make(chan struct{})
			registry := replica.NewRegistry()
			registry.Put(engine.info())
			target := registry.Get("v1")
			restart := func() {
				info := engine.info()
				info.Version = "v2"
				registry.Put(info)
			}
			exec := &Executor{Codec: resumeCodec{}, Routes: noRoutes(), Log: slog.New(slog.DiscardHandler)}
			task := taskDue("x", time.Hour, 10, 0)
			task.item.Path, task.lastEvent = "/b/x", 1
			task.output, task.begunAt = newItemOutput([][]byte{[]byte("v1 1")}), softwareOf("v1")
			if !whileItRuns {
				restart()
			}
			outcomes := make(chan runOutcome, 1)
			go func() { outcomes <- exec.run(context.Background(), task, target) }()
			if whileItRuns {
				g.Eventually(engine.runs.Load, eventuallyTimeout, "1ms").Should(gomega.Equal(int64(1)))
				restart()
			}
			close(engine.hold)
			g.Expect(<-outcomes).To(gomega.Equal(outcomeDeclined))
			g.Expect(target.Ejected(time.Now())).To(gomega.BeFalse())
			if whileItRuns {
				g.Expect(task.output).To(gomega.BeZero())
				g.Expect(task.lastEvent).To(gomega.Equal(forward.NoResume))
			} else {
				g.Expect(engine.runs.Load()).To(gomega.BeZero())
			}
		})
	}
}
