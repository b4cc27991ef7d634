package figures

import (
	"maps"
	"slices"

	"gentiantide.example/gentiantide/bench/measure/load"
	"gentiantide.example/gentiantide/bench/measure/report"
	"gentiantide.example/gentiantide/bench/measure/stats"
)

// explain lists the percentiles of two conditions in milliseconds and their
// failed calls, for the extra fields of a line.
func (s samples) explain(over, under, kind string, value func(*load.Sample) float64) []string {
	a, b := s.of(over, kind, value), s.of(under, kind, value)
	return []string{
		report.Pair("p99_ms", stats.Quantile(a, 0.99)), report.Pair("base_p99_ms", stats.Quantile(b, 0.99)),
		report.Pair("p50_ms", stats.Quantile(a, 0.5)), report.Pair("base_p50_ms", stats.Quantile(b, 0.5)),
		report.Pair("failed", float64(s.failed(over, kind))), report.Pair("base_failed", float64(s.failed(under, kind))),
	}
}

// countsOf lists counts in the order of their names.
func countsOf(counts map[string]int) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, report.Pair(name, float64(counts[name])))
	}
	return out
}
