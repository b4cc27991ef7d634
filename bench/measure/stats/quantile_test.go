package stats

import (
	"math"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against an off-by-one error in the rank, which would hide the slowest calls
// of small samples.
func TestQuantileNearestRank(t *testing.T) {
	g := gomega.NewWithT(t)
	values := make([]float64, 100)
	for i := range values {
		values[i] = float64(100 - i)
	}
	g.Expect(Quantile(values, 0.99)).To(gomega.Equal(99.0))
	g.Expect(Quantile(values, 0.5)).To(gomega.Equal(50.0))
	g.Expect(Quantile(values, 1)).To(gomega.Equal(100.0))
	g.Expect(Quantile([]float64{1, math.Inf(1)}, 0.99)).To(gomega.Equal(math.Inf(1)))
	g.Expect(math.IsNaN(Quantile(nil, 0.5))).To(gomega.BeTrue())
	g.Expect(values[0]).To(gomega.Equal(100.0))
}
