package load

import (
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/bench/client"
)

// Guards against schedules that differ between runs with the same seed or miss the
// rate.
func TestPoissonArrivalsAreFixedBySeed(t *testing.T) {
	g := gomega.NewWithT(t)
	a := PoissonArrivals(7, 200, 10*time.Second)
	g.Expect(PoissonArrivals(7, 200, 10*time.Second)).To(gomega.Equal(a))
	g.Expect(PoissonArrivals(8, 200, 10*time.Second)).NotTo(gomega.Equal(a))
	g.Expect(a).To(gomega.HaveLen(2000))
	g.Expect(slices.IsSorted(a)).To(gomega.BeTrue())
	firstHalf, _ := slices.BinarySearch(a, 5*time.Second)
	g.Expect(firstHalf).To(gomega.BeNumerically("~", 1000, 100))
}

// Guards against refused calls that count as fast responses.
func TestFailedCallsHaveInfiniteLatency(t *testing.T) {
	g := gomega.NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/refused" {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		_, _ = w.Write([]byte(`{"choices":[{"text":"x","finish_reason":"length"}]}`))
	}))
	defer server.Close()
	calls := []Call{
		{Kind: "good", Call: client.Call{Base: server.URL, Path: "/good"}},
		{Kind: "bad", Call: client.Call{Base: server.URL, Path: "/refused"}},
	}
	samples := Run(context.Background(), client.New(), calls, Options{Timeout: 5 * time.Second})
	g.Expect(samples).To(gomega.HaveLen(2))
	g.Expect(math.IsInf(samples[0].Total(), 1)).To(gomega.BeFalse())
	g.Expect(math.IsInf(samples[1].FirstToken(), 1)).To(gomega.BeTrue())
}
