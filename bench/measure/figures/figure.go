package figures

import (
	"context"

	"gentiantide.example/gentiantide/bench/measure/env"
	"gentiantide.example/gentiantide/bench/measure/report"
)

// Figure is one measurement, which returns one or several output lines.
type Figure struct {
	// Measures are the values of Line.Measure of its lines.
	Measures []string
	Run      func(context.Context, *env.Env) ([]report.Line, error)
}

// All returns the figures in the order in which they run. The first needs a node
// that has not served anything before, and the last kills a node. The figures after
// straggler do not depend on which replicas are still ejected.
func All() []Figure {
	return []Figure{
		{[]string{"job_memory_mb"}, jobMemory},
		{[]string{"online_p99_harm_ratio", "batch_throughput_share"}, harm},
		{[]string{"short_behind_long_p99_ratio"}, shortBehindLong},
		{[]string{"goodput_at_2x_ratio"}, goodput},
		{[]string{"batch_yield_ms_p99"}, batchYield},
		{[]string{"straggler_p99_ratio"}, straggler},
		{[]string{"batch_writes_per_1000_items"}, batchWrites},
		{[]string{"relay_added_ms_p50", "relay_added_ms_p99"}, relayAdded},
		{[]string{"relay_tokens_per_cpu_second"}, relayTokens},
		{[]string{"batch_recovery_s"}, batchRecovery},
	}
}
