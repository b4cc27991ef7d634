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

// provenCodec treats every answer as authenticated and as the result of a run.
type provenCodec struct{ plainCodec }

func (provenCodec) ParseResponse(int, http.Header) forward.ResponseInfo {
	return forward.ResponseInfo{Signed: true}
}

// Guards against avoiding a healthy replica because of an item that it cannot
// process, and against not avoiding a replica that fails.
func TestReplicaAvoidanceByStatus(t *testing.T) {
	for status, want := range map[int]struct {
		outcome runOutcome
		avoided bool
	}{
		http.StatusTeapot:              {outcomeDeclined, false},
		http.StatusUnprocessableEntity: {outcomeImpossible, false},
		http.StatusInternalServerError: {outcomeFailed, false},
		http.StatusBadGateway:          {outcomeBroken, true},
	} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			g := gomega.NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
			defer server.Close()
			registry := replica.NewRegistry()
			registry.Put(replica.Info{ID: "i-1", Service: "m", Address: server.Listener.Addr().String(), Slots: 8})
			target := registry.Get("i-1")
			exec := &Executor{Codec: provenCodec{}, Log: slog.New(slog.DiscardHandler)}
			w := taskDue("x", time.Hour, 10, 0)
			w.item.Path, w.lastEvent = "/b/x", forward.NoResume
			g.Expect(exec.run(context.Background(), w, target)).To(gomega.Equal(want.outcome))
			g.Expect(target.Ejected(time.Now())).To(gomega.Equal(want.avoided))
		})
	}
}
