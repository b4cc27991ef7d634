package figures

import (
	"context"
	"time"

	"gentiantide.example/gentiantide/bench/measure/env"
	"gentiantide.example/gentiantide/bench/measure/load"
	"gentiantide.example/gentiantide/bench/measure/stats"
)

// condition is one of the conditions that a measurement compares.
type condition struct {
	name string
	// rounds is the number of times it runs.
	rounds int
	// timing, if not nil, replaces the timing of the measurement.
	timing *timing
	// setUp, if not nil, establishes the condition and returns a function that ends
	// it.
	setUp func(context.Context) (tearDown func() error, err error)
	// calls builds the calls of a round.
	calls func(round int) ([]load.Call, error)
	// during, if not nil, runs concurrently with the load.
	during func(ctx context.Context, round int) error
	// after, if not nil, gets all samples of each round, warm-up included.
	after func(samples []load.Sample)
}

// timing sets the phases of one round.
type timing struct {
	warmup   time.Duration // samples of earlier arrivals are dropped
	duration time.Duration // time span of the arrivals, warm-up included
	// grace is the time after duration in which calls may end; the rest is
	// cancelled. 0 stands for callTimeout.
	grace time.Duration
}

const (
	callTimeout = 10 * time.Second
	// targetSamples is the number of samples per condition, a little more than the
	// 1,000 that a 99th percentile needs.
	targetSamples = 1020
	// minMeasured is the minimum duration of the measured part of a round, after
	// the warm-up.
	minMeasured = 1000 * time.Millisecond
)

// timingFor returns the timing of rounds that together have targetSamples samples at
// a rate of arrivals per second.
func timingFor(e *env.Env, warmup time.Duration, rate float64, rounds int) timing {
	measured := time.Duration(targetSamples / rate / float64(rounds) * float64(time.Second))
	return timing{warmup: warmup, duration: warmup + e.ScaleDuration(max(minMeasured, measured))}
}

// samples holds the samples of the measured parts, by condition.
type samples map[string][]load.Sample

// run runs all conditions in each round, in turn, and returns the samples of the
// measured parts.
func run(ctx context.Context, e *env.Env, t timing, conditions []condition) (samples, error) {
	out := make(samples)
	for round := 0; ; round++ {
		more := false
		for _, c := range conditions {
			if round >= c.rounds {
				continue
			}
			more = true
			measured, err := runRound(ctx, e, t, c, round)
			if err != nil {
				return nil, err
			}
			out[c.name] = append(out[c.name], measured...)
		}
		if !more {
			return out, nil
		}
	}
}

// runRound runs one round of a condition and returns the samples of its measured
// part.
func runRound(ctx context.Context, e *env.Env, t timing, c condition, round int) (measured []load.Sample, err error) {
	if c.timing != nil {
		t = *c.timing
	}
	calls, err := c.calls(round)
	if err != nil {
		return nil, err
	}
	if c.setUp != nil {
		tearDown, err := c.setUp(ctx)
		if err != nil {
			return nil, err
		}
		defer func() {
			if tearDownErr := tearDown(); err == nil {
				err = tearDownErr
			}
			if err == nil {
				err = e.AwaitIdle(ctx)
			}
		}()
	}
	all, err := runLoad(ctx, e, t, c, round, calls)
	if err != nil {
		return nil, err
	}
	if err := e.Record(c.name, round, all); err != nil {
		return nil, err
	}
	if c.after != nil {
		c.after(all)
	}
	for _, s := range all {
		if s.At >= t.warmup {
			measured = append(measured, s)
		}
	}
	if c.setUp == nil {
		err = e.AwaitIdle(ctx)
	}
	return measured, err
}

func runLoad(ctx context.Context, e *env.Env, t timing, c condition, round int, calls []load.Call) ([]load.Sample, error) {
	grace := t.grace
	if grace == 0 {
		grace = callTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, t.duration+grace)
	defer cancel()
	during := make(chan error, 1)
	if c.during != nil {
		go func() { during <- c.during(ctx, round) }()
	} else {
		during <- nil
	}
	all := load.Run(ctx, e.Client, calls, load.Options{Timeout: callTimeout})
	return all, <-during
}

// values returns the values of the samples of one kind, or of all kinds if kind is
// empty.
func (s samples) values(condition, kind string, value func(*load.Sample) float64) []float64 {
	var out []float64
	for i := range s[condition] {
		if sample := &s[condition][i]; kind == "" || sample.Kind == kind {
			out = append(out, value(sample))
		}
	}
	return out
}

// ratio returns the 99th percentile of a condition divided by that of the baseline,
// and the smaller of their numbers of samples.
func (s samples) ratio(condition, baseline, kind string, value func(*load.Sample) float64) (ratio float64, n int) {
	a, b := s.values(condition, kind, value), s.values(baseline, kind, value)
	return stats.Quantile(a, 0.99) / stats.Quantile(b, 0.99), min(len(a), len(b))
}

// failed counts the samples of one kind, or of all kinds if kind is empty, without a
// complete response.
func (s samples) failed(condition, kind string) int {
	n := 0
	for i := range s[condition] {
		if sample := &s[condition][i]; !sample.Result.OK() && (kind == "" || sample.Kind == kind) {
			n++
		}
	}
	return n
}
