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

// provenCodec takes every answer for the replica's own and for a run.
type provenCodec struct{ plainCodec }

func (provenCodec) Answer(int, http.Header) forward.AnswerInfo {
	return forward.AnswerInfo{Proven: true}
}

// Guards against a replica that is taken away from all work because of an item
// that it cannot do, and against a failing one that is not avoided.
func TestBlameForAnItem(t *testing.T) {
	for status, want := range map[int]struct {
		end     ending
		avoided bool
	}{
		http.StatusTeapot:              {endDeclined, false},
		http.StatusUnprocessableEntity: {endImpossible, false},
		http.StatusInternalServerError: {endFailed, false},
		http.StatusBadGateway:          {endBroken, true},
	} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			g := gomega.NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
			defer server.Close()
			registry := replica.NewRegistry()
			registry.Put(replica.Info{ID: "i-1", Service: "m", Address: server.Listener.Addr().String(), Slots: 8})
			target := registry.Get("i-1")
			exec := &Executor{Codec: provenCodec{}, Log: slog.New(slog.DiscardHandler)}
			w := workDue("x", time.Hour, 10, 0)
			w.item.Path, w.last = "/b/x", forward.NoResume
			g.Expect(exec.run(context.Background(), w, target)).To(gomega.Equal(want.end))
			g.Expect(target.Avoided(time.Now())).To(gomega.Equal(want.avoided))
		})
	}
}
