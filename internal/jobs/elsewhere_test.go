package jobs

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/forward"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/routetable"
)

// fullCodec takes status 429 for a request that was not run.
type fullCodec struct{ resumeCodec }

func (fullCodec) ParseResponse(_ string, status int, _ http.Header) forward.ResponseInfo {
	return forward.ResponseInfo{Signed: true, NotRun: status == http.StatusTooManyRequests}
}

// Guards against an item that goes back to the replica that has not taken it, or has failed
// it, for as long as that has the most free slots, and against one that waits although no
// other replica is there.
func TestItemGoesElsewhereAfterARefusal(t *testing.T) {
	for name, c := range map[string]struct {
		status   int
		refusals int64
		alone    bool
	}{
		"not run":           {http.StatusTooManyRequests, 1 << 30, false},
		"declined":          {http.StatusNotFound, 1 << 30, false},
		"failed":            {http.StatusInternalServerError, 1 << 30, false},
		"only one is there": {http.StatusTooManyRequests, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "a/1")
			sound := newVersionEngine(t, "v1")
			var refusals atomic.Int64
			refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if refusals.Add(1) <= c.refusals {
					w.WriteHeader(c.status)
					return
				}
				sound.ServeHTTP(w, r)
			}))
			t.Cleanup(refusing.Close)
			f.registry.Put(replica.Info{ID: "refusing", Service: "m", Address: refusing.Listener.Addr().String(), Slots: 8, Version: "v1"})
			if !c.alone {
				f.registry.Put(sound.info())
				f.registry.Get("v1").Begin(core.ClassOnline) // so that the other one has more free slots
			}
			f.runner.exec.Codec = fullCodec{}
			f.runner.exec.Routes.Store(routetable.NewTable(1, routetable.Limits{}, []*routetable.Route{
				{Host: "h", Prefix: "/b/", Kind: routetable.KindBatch, MaxAttempts: 2, Backends: []routetable.Backend{{Service: "m", Weight: 1}}},
			}))
			job := f.job("job", "x")
			f.runner.mu.Lock()
			job.entry.Host, job.pending[0].item.Path, job.pending[0].lastEvent = "h", "/b/x", forward.NoResume
			f.runner.mu.Unlock()
			f.Expect(f.text()).To(gomega.Equal(wholeText("v1")))
			if !c.alone {
				f.Expect(refusals.Load()).To(gomega.Equal(int64(1)))
			}
		})
	}
}
