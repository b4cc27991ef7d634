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

// straggler measures straggler_p99_ratio: the 99th percentile of the time to
// the last token of short online calls while some replicas are 5 times slower,
// divided by that while none is. Calls that arrive in the first second after
// the slowdown do not count; onset_p99_ms is their 99th percentile.
func straggler(ctx context.Context, e *env.Env) ([]report.Line, error) {
	t := timingFor(e, time.Second, e.Shape.Rate(onlineShare, onlineTokens), 2)
	var onset []float64
	base := func(name string, system env.System, rounds int) condition {
		return condition{name: name, rounds: rounds, calls: func(round int) ([]load.Call, error) {
			return e.Calls(env.CallSpec{System: system, Kind: "short", MaxTokens: onlineTokens,
				Arrivals: load.Poisson(seed(e.Shape.Seed, 2, round), e.Shape.Rate(onlineShare, onlineTokens), t.length)})
		}}
	}
	slow := func(c condition) condition {
		c.begin = func(context.Context) (func() error, error) {
			return func() error { return e.Slow(0) }, e.Slow(slowFactor, stragglers(e)...)
		}
		return c
	}
	ours := slow(base("slow", env.Gentiantide, 2))
	ours.after = func(all []load.Sample) { onset = append(onset, totalsBefore(all, t.warm)...) }
	s, err := run(ctx, e, t, []condition{
		base("none", env.Gentiantide, 2), ours, base("naive none", env.Naive, 1), slow(base("naive slow", env.Naive, 1)),
	})
	if err != nil {
		return nil, err
	}
	value := (*load.Sample).Total
	ratio, n := s.ratio("slow", "none", "", value)
	naive, _ := s.ratio("naive slow", "naive none", "", value)
	extra := append(s.explain("slow", "none", "", value), report.Pair("onset_p99_ms", stats.Quantile(onset, 0.99)))
	return []report.Line{{Measure: "straggler_p99_ratio", Shape: e.Shape.Name, Value: ratio, Naive: &naive,
		Target: report.Number(stragglerTarget), N: n, Extra: extra}}, nil
}

// stragglers returns the indexes of the slowed engines, in different data
// centres as far as there are any.
func stragglers(e *env.Env) []int {
	var out []int
	for i := range e.Shape.Stragglers {
		out = append(out, i*e.Shape.EnginesPerDC%len(e.Fleet.Engines))
	}
	return out
}

func totalsBefore(all []load.Sample, end time.Duration) []float64 {
	var out []float64
	for i := range all {
		if all[i].At < end {
			out = append(out, all[i].Total())
		}
	}
	return out
}
