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
	slowFactor      = 5
	stragglerTarget = 1.50
)

// straggler measures straggler_p99_ratio: the 99th percentile of the time to the last
// token of short online calls while some replicas are 5 times slower, divided by that
// without slow replicas. The calls of the first second after the slowdown are left
// out; onset_p99_ms is their 99th percentile.
func straggler(ctx context.Context, e *env.Env) ([]report.Line, error) {
	t := timingFor(e, time.Second, e.Shape.Rate(onlineShare, onlineTokens), 2)
	var onset []float64
	loadCondition := func(name string, system env.System, rounds int) condition {
		return condition{name: name, rounds: rounds, calls: func(round int) ([]load.Call, error) {
			return e.Calls(env.CallSpec{System: system, Kind: "short", MaxTokens: onlineTokens,
				Arrivals: load.PoissonArrivals(seed(e.Shape.Seed, 2, round), e.Shape.Rate(onlineShare, onlineTokens), t.duration)})
		}}
	}
	withStragglers := func(c condition) condition {
		c.setUp = func(context.Context) (func() error, error) {
			return func() error { return e.SetSlowdown(0) }, e.SetSlowdown(slowFactor, stragglerIndexes(e)...)
		}
		return c
	}
	ours := withStragglers(loadCondition("slow", env.Gentiantide, 2))
	ours.after = func(all []load.Sample) { onset = append(onset, totalsOfArrivalsBefore(all, t.warmup)...) }
	s, err := run(ctx, e, t, []condition{
		loadCondition("none", env.Gentiantide, 2), ours, loadCondition("naive none", env.Naive, 1), withStragglers(loadCondition("naive slow", env.Naive, 1)),
	})
	if err != nil {
		return nil, err
	}
	value := (*load.Sample).Total
	ratio, n := s.ratio("slow", "none", "", value)
	naive, _ := s.ratio("naive slow", "naive none", "", value)
	extra := append(s.explain("slow", "none", "", value), report.KeyValue("onset_p99_ms", stats.Quantile(onset, 0.99)))
	return []report.Line{{Measure: "straggler_p99_ratio", Shape: e.Shape.Name, Value: ratio, Naive: &naive,
		Target: report.FloatPtr(stragglerTarget), N: n, Extra: extra}}, nil
}

// stragglerIndexes returns the indexes of the slowed engines, in different data
// centres as long as there are enough of them.
func stragglerIndexes(e *env.Env) []int {
	var out []int
	for i := range e.Shape.Stragglers {
		out = append(out, i*e.Shape.EnginesPerDC%len(e.Fleet.Engines))
	}
	return out
}

// totalsOfArrivalsBefore returns the times to the last token of the calls that arrive
// before end.
func totalsOfArrivalsBefore(all []load.Sample, end time.Duration) []float64 {
	var out []float64
	for i := range all {
		if all[i].At < end {
			out = append(out, all[i].Total())
		}
	}
	return out
}
