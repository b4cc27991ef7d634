package weights

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/httpweights"
)

// Guards against reporting a size for a model that does not exist, and against a
// truncated stream that looks complete to its reader.
func TestStatAndStream(t *testing.T) {
	g := gomega.NewWithT(t)
	server := New(Params{Size: 300_000, Models: []string{"m@1"}})
	httpServer := httptest.NewServer(server)
	defer httpServer.Close()
	store := httpweights.New(httpServer.URL, 0)
	g.Expect(store.Stat(t.Context(), "m", "1")).To(gomega.Equal(int64(300_000)))
	_, err := store.Stat(t.Context(), "m", "2")
	g.Expect(err).To(gomega.MatchError(infra.ErrNotFound))
	server.Fault.Set(Fault{CutAfter: 100_000})
	resp, err := http.Get(httpServer.URL + "/weights?model=m&version=1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	g.Expect(err).To(gomega.MatchError(io.ErrUnexpectedEOF))
	server.Fault.Set(Fault{Down: true})
	_, err = store.Stat(t.Context(), "m", "1")
	g.Expect(err).To(gomega.MatchError(infra.ErrUnavailable))
}

// Guards against applying the rate limit to each stream: all streams of the store
// share it.
func TestStreamsShareTheRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		server := New(Params{Size: 1 << 20, Rate: 1 << 20})
		start := time.Now()
		done := make(chan int)
		for range 4 {
			go func() {
				w := httptest.NewRecorder()
				server.ServeHTTP(w, httptest.NewRequest("GET", "/weights?model=m&version=1", nil))
				done <- w.Body.Len()
			}()
		}
		for range 4 {
			g.Expect(<-done).To(gomega.Equal(1 << 20))
		}
		g.Expect(time.Since(start)).To(gomega.BeNumerically("~", 4*time.Second, 2*burst)) // simulated time
	})
}
