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

// signedCodec treats every response as signed and as the result of a run.
type signedCodec struct{ plainCodec }

func (signedCodec) ParseResponse(string, int, http.Header) forward.ResponseInfo {
	return forward.ResponseInfo{Signed: true}
}

// Guards against ejecting a healthy replica because of an item that it cannot
// process, and against not ejecting a replica that fails.
func TestReplicaEjectionByStatus(t *testing.T) {
	for status, want := range map[int]struct {
		outcome runOutcome
		ejected bool
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
			exec := &Executor{Codec: signedCodec{}, Routes: noRoutes(), Log: slog.New(slog.DiscardHandler)}
			w := taskDue("x", time.Hour, 10, 0)
			w.item.Path, w.lastEvent = "/b/x", forward.NoResume
			g.Expect(exec.run(context.Background(), w, target)).To(gomega.Equal(want.outcome))
			g.Expect(target.Ejected(time.Now())).To(gomega.Equal(want.ejected))
		})
	}
}
