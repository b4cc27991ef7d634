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

func backendCounting(count *atomic.Int64) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		_, _ = io.Copy(w, r.Body)
	}))
}

// Guards against a comparison with a proxy that does not use all backend
// servers evenly or that gives up at a backend server that is down.
func TestRoundRobinPassesOverFailedConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	var counts [2]atomic.Int64
	a, b := backendCounting(&counts[0]), backendCounting(&counts[1])
	defer a.Close()
	down := httptest.NewServer(http.NotFoundHandler())
	down.Close()
	proxy := httptest.NewServer(New([]string{a.URL, down.URL, b.URL}))
	defer proxy.Close()
	for range 9 {
		answer, err := http.Post(proxy.URL+"/v1/completions", "application/json", bytes.NewReader([]byte(`{"x":1}`)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		body, err := io.ReadAll(answer.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_ = answer.Body.Close()
		g.Expect(string(body)).To(gomega.Equal(`{"x":1}`))
	}
	g.Expect(counts[0].Load()).To(gomega.BeNumerically(">", 2))
	g.Expect(counts[1].Load()).To(gomega.BeNumerically(">", 2))
	b.Close()
}

// Guards against a batch runner that loses items, which would flatter or hurt
// the comparison of throughput.
func TestRunnerSendsEachItemOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	var count atomic.Int64
	backend := backendCounting(&count)
	defer backend.Close()
	p := New([]string{backend.URL})
	defer p.Close()
	proxy := httptest.NewServer(p)
	defer proxy.Close()
	input := bytes.Repeat([]byte(`{"url":"/v1/completions","body":{"x":1}}`+"\n"), 50)
	answer, err := http.Post(proxy.URL+"/batch?concurrency=4", "application/jsonl", bytes.NewReader(input))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_ = answer.Body.Close()
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusAccepted))
	g.Eventually(func() Status {
		var s Status
		answer, err := http.Get(proxy.URL + "/batch")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = answer.Body.Close() }()
		g.Expect(json.NewDecoder(answer.Body).Decode(&s)).To(gomega.Succeed())
		return s
	}, 5*time.Second).Should(gomega.Equal(Status{Completed: 50}))
	g.Expect(count.Load()).To(gomega.Equal(int64(50)))
}
