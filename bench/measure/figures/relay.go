package figures

import (
	"context"
	"time"

	"gentiantide.example/gentiantide/bench/measure/env"
	"gentiantide.example/gentiantide/bench/measure/load"
	"gentiantide.example/gentiantide/bench/measure/report"
	"gentiantide.example/gentiantide/bench/measure/stats"
)

const (
	// relaySlowdown makes a step of an engine take about 1 ms, so that the wait for
	// the end of the current step does not hide the latency that the relay adds.
	relaySlowdown = 0.05
	// relayRate is the rate of calls per second to each of the three systems. At this
	// rate the engines are idle most of the time.
	relayRate = 240
)

// relayAdded measures relay_added_ms_p50 and relay_added_ms_p99: the percentiles of
// the time to first token through a node minus those of calls directly to an engine.
// One load alternates among the three systems.
func relayAdded(ctx context.Context, e *env.Env) ([]report.Line, error) {
	if err := e.SetSlowdownAll(relaySlowdown); err != nil {
		return nil, err
	}
	t := timing{warmup: 500 * time.Millisecond, duration: 500*time.Millisecond + e.ScaleDuration(4300*time.Millisecond)}
	s, err := run(ctx, e, t, []condition{{name: "all", rounds: 1, calls: func(round int) ([]load.Call, error) {
		return interleavedCalls(e, load.PoissonArrivals(seed(e.Shape.Seed, 6, round), 3*relayRate, t.duration))
	}}})
	if err == nil {
		err = e.SetSlowdown(0)
	}
	if err != nil {
		return nil, err
	}
	quantile := func(system env.System, q float64) float64 {
		return stats.Quantile(s.values("all", system.String(), (*load.Sample).FirstToken), q)
	}
	n := len(s.values("all", env.Gentiantide.String(), (*load.Sample).FirstToken))
	line := func(name string, q float64) report.Line {
		return report.Line{Measure: name, Shape: e.Shape.Name, Value: quantile(env.Gentiantide, q) - quantile(env.Direct, q),
			Naive: report.FloatPtr(quantile(env.Naive, q) - quantile(env.Direct, q)), N: n,
			Extra: []string{report.KeyValue("ms", quantile(env.Gentiantide, q)), report.KeyValue("direct_ms", quantile(env.Direct, q)),
				report.KeyValue("failed", float64(s.failed("all", "")))}}
	}
	return []report.Line{line("relay_added_ms_p50", 0.5), line("relay_added_ms_p99", 0.99)}, nil
}

// interleavedCalls builds one call per arrival, for the three systems in turn.
func interleavedCalls(e *env.Env, arrivals []time.Duration) ([]load.Call, error) {
	systems := []env.System{env.Direct, env.Gentiantide, env.Naive}
	all := make([]load.Call, len(arrivals))
	for k, system := range systems {
		var own []time.Duration
		for i := k; i < len(arrivals); i += len(systems) {
			own = append(own, arrivals[i])
		}
		calls, err := e.Calls(env.CallSpec{System: system, Kind: system.String(), MaxTokens: 1, Arrivals: own})
		if err != nil {
			return nil, err
		}
		for j, c := range calls {
			all[k+j*len(systems)] = c
		}
	}
	return all, nil
}
