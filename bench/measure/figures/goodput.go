package figures

import (
	"context"
	"time"

	"gentiantide.example/gentiantide/bench/client"
	"gentiantide.example/gentiantide/bench/measure/env"
	"gentiantide.example/gentiantide/bench/measure/load"
	"gentiantide.example/gentiantide/bench/measure/report"
	"gentiantide.example/gentiantide/bench/measure/stats"
	"gentiantide.example/gentiantide/bench/workload"
)

const (
	goodputTarget = 0.95
	// goodputDeadline is the deadline that calls carry, about 5 times the duration
	// of a call on a full engine.
	goodputDeadline = time.Second
	headerTimeout   = "X-Gentiantide-Timeout"
)

// goodput measures goodput_at_2x_ratio: the complete responses per second within the
// deadline that calls carry, at an arrival rate of twice the capacity, divided by
// those at capacity. The capacity is measured by calling the engines directly with
// every slot always busy.
func goodput(ctx context.Context, e *env.Env) ([]report.Line, error) {
	capacity, err := onlineCapacity(ctx, e)
	if err != nil {
		return nil, err
	}
	t := timing{warmup: 700 * time.Millisecond, duration: 700*time.Millisecond + e.ScaleDuration(1500*time.Millisecond)}
	atRate := func(name string, system env.System, rounds int, factor float64) condition {
		return condition{name: name, rounds: rounds, calls: func(round int) ([]load.Call, error) {
			return e.Calls(env.CallSpec{System: system, Kind: "short", MaxTokens: onlineTokens,
				Header:   map[string]string{headerTimeout: goodputDeadline.String()},
				Arrivals: load.PoissonArrivals(seed(e.Shape.Seed, 5, round), factor*capacity.CallsPerSecond, t.duration)})
		}}
	}
	t.grace = goodputDeadline + 500*time.Millisecond
	var slotUse []float64
	twice := atRate("2x", env.Gentiantide, 2, 2)
	twice.during = func(ctx context.Context, _ int) error {
		w, err := watchEngines(ctx, e, t)
		slotUse = append(slotUse, w.slotUse...)
		return err
	}
	s, err := run(ctx, e, t, []condition{
		atRate("1x", env.Gentiantide, 2, 1), twice,
		atRate("naive 1x", env.Naive, 1, 1), atRate("naive 2x", env.Naive, 1, 2),
	})
	if err != nil {
		return nil, err
	}
	seconds := (t.duration - t.warmup).Seconds()
	one, two := s.onTime("1x")/2/seconds, s.onTime("2x")/2/seconds
	naiveOne, naiveTwo := s.onTime("naive 1x")/seconds, s.onTime("naive 2x")/seconds
	return []report.Line{{Measure: "goodput_at_2x_ratio", Shape: e.Shape.Name, Value: two / one,
		Naive: report.FloatPtr(naiveTwo / naiveOne), Target: report.FloatPtr(goodputTarget), N: len(s["1x"]),
		Extra: append([]string{
			report.KeyValue("capacity_per_s", capacity.CallsPerSecond), report.KeyValue("on_time_1x_per_s", one),
			report.KeyValue("on_time_2x_per_s", two), report.KeyValue("naive_on_time_1x_per_s", naiveOne),
			report.KeyValue("naive_on_time_2x_per_s", naiveTwo), report.KeyValue("slot_use_2x", stats.Mean(slotUse)),
		}, s.errorCounts("2x")...)}}, nil
}

// onTime counts the calls of a condition with a complete response within the
// deadline, counted from the scheduled arrival.
func (s samples) onTime(condition string) float64 {
	n := 0
	for _, total := range s.values(condition, "", (*load.Sample).Total) {
		if total <= float64(goodputDeadline/time.Millisecond) {
			n++
		}
	}
	return float64(n)
}

// errorCounts lists the number of failed calls of a condition by error code;
// no_answer stands for calls without one.
func (s samples) errorCounts(condition string) []string {
	count := make(map[string]int)
	for i := range s[condition] {
		r := &s[condition][i].Result
		switch {
		case r.OK():
		case r.Code != "":
			count[r.Code]++
		default:
			count["no_answer"]++
		}
	}
	return countsOf(count)
}

// onlineCapacity measures the capacity of the engines for online calls alone.
func onlineCapacity(ctx context.Context, e *env.Env) (env.Capacity, error) {
	const calls = 4096 // with different prompts
	built, err := e.Calls(env.CallSpec{System: env.Direct, Kind: "capacity", MaxTokens: onlineTokens, Arrivals: make([]time.Duration, calls)})
	if err != nil {
		return env.Capacity{}, err
	}
	return e.Saturate(ctx, func(i int) client.Call {
		return client.Call{Path: workload.Path(e.Shape.Online), Body: built[i%calls].Body}
	}, e.ScaleDuration(2*time.Second))
}
