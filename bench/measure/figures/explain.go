package figures

import (
	"maps"
	"slices"

	"gentiantide.example/gentiantide/bench/measure/load"
	"gentiantide.example/gentiantide/bench/measure/report"
	"gentiantide.example/gentiantide/bench/measure/stats"
)

// explain lists the percentiles in milliseconds and the failed calls of a condition
// and its baseline, for Line.Extra.
func (s samples) explain(condition, baseline, kind string, value func(*load.Sample) float64) []string {
	a, b := s.values(condition, kind, value), s.values(baseline, kind, value)
	return []string{
		report.KeyValue("p99_ms", stats.Quantile(a, 0.99)), report.KeyValue("base_p99_ms", stats.Quantile(b, 0.99)),
		report.KeyValue("p50_ms", stats.Quantile(a, 0.5)), report.KeyValue("base_p50_ms", stats.Quantile(b, 0.5)),
		report.KeyValue("failed", float64(s.failed(condition, kind))), report.KeyValue("base_failed", float64(s.failed(baseline, kind))),
	}
}

// countsOf lists counts for Line.Extra, in the order of their names.
func countsOf(counts map[string]int) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, report.KeyValue(name, float64(counts[name])))
	}
	return out
}
