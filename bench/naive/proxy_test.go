package naive

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func newCountingBackend(count *atomic.Int64) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		_, _ = io.Copy(w, r.Body)
	}))
}

// Guards against an unfair comparison: a proxy that does not use all backend
// servers evenly, or that gives up when one of them is down.
func TestRoundRobinSkipsFailedConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	var counts [2]atomic.Int64
	a, b := newCountingBackend(&counts[0]), newCountingBackend(&counts[1])
	defer a.Close()
	down := httptest.NewServer(http.NotFoundHandler())
	down.Close()
	proxy := httptest.NewServer(New([]string{a.URL, down.URL, b.URL}))
	defer proxy.Close()
	for range 9 {
		response, err := http.Post(proxy.URL+"/v1/completions", "application/json", bytes.NewReader([]byte(`{"x":1}`)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		body, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_ = response.Body.Close()
		g.Expect(string(body)).To(gomega.Equal(`{"x":1}`))
	}
	g.Expect(counts[0].Load()).To(gomega.BeNumerically(">", 2))
	g.Expect(counts[1].Load()).To(gomega.BeNumerically(">", 2))
	b.Close()
}

// Guards against a batch runner that loses or repeats items, which would distort
// the comparison of throughput.
func TestRunnerSendsEachItemOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	var count atomic.Int64
	backend := newCountingBackend(&count)
	defer backend.Close()
	p := New([]string{backend.URL})
	defer p.Close()
	proxy := httptest.NewServer(p)
	defer proxy.Close()
	input := bytes.Repeat([]byte(`{"url":"/v1/completions","body":{"x":1}}`+"\n"), 50)
	response, err := http.Post(proxy.URL+"/batch?concurrency=4", "application/jsonl", bytes.NewReader(input))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_ = response.Body.Close()
	g.Expect(response.StatusCode).To(gomega.Equal(http.StatusAccepted))
	g.Eventually(func() Status {
		var s Status
		response, err := http.Get(proxy.URL + "/batch")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		g.Expect(json.NewDecoder(response.Body).Decode(&s)).To(gomega.Succeed())
		return s
	}, 5*time.Second).Should(gomega.Equal(Status{Completed: 50}))
	g.Expect(count.Load()).To(gomega.Equal(int64(50)))
}
