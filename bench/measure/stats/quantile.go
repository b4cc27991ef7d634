// Package stats computes summary statistics of samples.
package stats

import (
	"math"
	"sort"
)

// Quantile returns the nearest-rank quantile q, from 0 to 1, of the values: the
// smallest value v such that at least the share q of the values is at most v. It
// returns NaN if there are no values, and leaves their order as it is.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	rank := int(math.Ceil(q * float64(len(sorted))))
	return sorted[min(max(rank, 1), len(sorted))-1]
}

// Mean returns the arithmetic mean, or NaN if there are no values.
func Mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}
