// Package stats summarises samples.
package stats

import (
	"math"
	"sort"
)

// Quantile returns the nearest-rank quantile q, 0 to 1, of the values: the
// smallest value that at least the share q of them does not exceed. It is NaN
// without values. The values are not changed.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	rank := int(math.Ceil(q * float64(len(sorted))))
	return sorted[min(max(rank, 1), len(sorted))-1]
}

// Mean returns the mean; NaN without values.
func Mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}
