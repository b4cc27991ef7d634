package figures

import (
	"context"
	"maps"
	"time"

	"gentiantide.example/gentiantide/bench/client"
	"gentiantide.example/gentiantide/bench/measure/env"
	"gentiantide.example/gentiantide/bench/measure/load"
	"gentiantide.example/gentiantide/bench/measure/report"
	"gentiantide.example/gentiantide/bench/measure/stats"
	"gentiantide.example/gentiantide/bench/standin/engine"
	"gentiantide.example/gentiantide/bench/workload"
)

const (
	// onlineTokens is the max_tokens of short calls, a third of that of the workload,
	// so that conditions of a few seconds have more than 1,000 calls.
	onlineTokens = 8
	// onlineShare is the share of the slots that online calls use.
	onlineShare = 0.5
	// harmItems is enough for more ranges than all nodes may hold at once, so that
	// every node has work for the engines of its data centre.
	harmItems = 20_000

	// usagePollInterval is the interval at which the slots in use are sampled.
	usagePollInterval = 200 * time.Millisecond
	// The engines count as full when the share of slots in use reaches fullShare.
	// fillTimeout bounds the wait for it.
	fullShare   = 0.9
	fillTimeout = 2 * time.Second

	// naiveMeasured is the duration of the measured part of the naive proxy's rounds.
	naiveMeasured = 1800 * time.Millisecond

	harmTarget       = 1.05
	throughputTarget = 0.90
)

// mixedThroughput is what the engines did in the measured parts of a condition of
// harm, with or without batch.
type mixedThroughput struct {
	seconds      float64
	batchTokens  float64
	onlineTokens float64
	steps        float64
	slotUse      []float64 // shares of slots in use
}

// meanLengths are the mean lengths of the workload's calls and items in tokens. The
// measurement harm does not shorten them: the shorter a request, the larger the part
// of the slots' time that passes in waiting for the next step of an engine, which no
// scheduling can use.
type meanLengths struct{ call, item float64 }

func meanLengthsOf(s env.Shape) (meanLengths, error) {
	calls, err := workload.Bodies(s.Online)
	if err != nil {
		return meanLengths{}, err
	}
	items, err := workload.Bodies(s.Batch)
	if err != nil {
		return meanLengths{}, err
	}
	return meanLengths{call: workload.MeanTokens(calls), item: workload.MeanTokens(items)}, nil
}

// harm measures two figures in the same rounds.
//
// online_p99_harm_ratio is the 99th percentile of the time to first token of online
// calls while a batch job has work for every free slot, divided by that without
// batch. step_ratio is the mean step time of the engines with batch, divided by that
// without: this part of the ratio is unavoidable if batch uses free slots, since a
// step of a fuller engine takes longer.
//
// batch_throughput_share is the items/s of batch beside online calls, divided by
// (items/s of the same engines that serve only batch × idle share). The items/s of
// batch alone are measured by calling the engines directly with every slot always
// busy. The idle share is 1 − (tokens/s of the online calls) / (tokens/s of the
// engines in that direct run). Items are counted by their tokens, so that items that
// begin or end outside the measured time count in part: the tokens of the engines
// minus those of the online calls that ended in the same time. slot_use is the mean
// share of the engines' slots that were in use.
func harm(ctx context.Context, e *env.Env) ([]report.Line, error) {
	l, err := meanLengthsOf(e.Shape)
	if err != nil {
		return nil, err
	}
	rate := e.Shape.Rate(onlineShare, l.call)
	t := timingFor(e, 600*time.Millisecond, rate, 2)
	results := make(map[string]*mixedThroughput)
	s, err := run(ctx, e, t, []condition{
		online(e, t, rate, "A", env.Gentiantide, 2, results),
		withBatch(e, online(e, t, rate, "B", env.Gentiantide, 2, results), env.Gentiantide),
	})
	if err != nil {
		return nil, err
	}
	t.duration = t.warmup + e.ScaleDuration(naiveMeasured)
	naive, err := run(ctx, e, t, []condition{
		online(e, t, rate, "naive A", env.Naive, 1, results),
		withBatch(e, online(e, t, rate, "naive B", env.Naive, 1, results), env.Naive),
	})
	if err != nil {
		return nil, err
	}
	maps.Copy(s, naive)
	capacity, err := batchCapacity(ctx, e)
	if err != nil {
		return nil, err
	}
	return []report.Line{harmLine(e, s, results), throughputLine(e, results, capacity, l.item)}, nil
}

// online returns a condition of steady online load. Its throughput is added to
// results[name].
func online(e *env.Env, t timing, rate float64, name string, system env.System, rounds int, results map[string]*mixedThroughput) condition {
	m := &mixedThroughput{}
	results[name] = m
	var window engineWindow
	return condition{
		name: name, rounds: rounds,
		calls: func(round int) ([]load.Call, error) {
			return e.Calls(env.CallSpec{System: system, Kind: "online",
				Arrivals: load.PoissonArrivals(seed(e.Shape.Seed, 1, round), rate, t.duration)})
		},
		during: func(ctx context.Context, _ int) (err error) {
			window, err = watchEngines(ctx, e, t)
			return err
		},
		after: func(all []load.Sample) { m.add(window, all) },
	}
}

// engineWindow is what the engines did during the measured part of a round.
type engineWindow struct {
	from, to      time.Duration // from the start of the round
	before, after engine.Stats
	slotUse       []float64
}

// watchEngines samples the engines during the measured part of a round.
func watchEngines(ctx context.Context, e *env.Env, t timing) (w engineWindow, err error) {
	start := time.Now()
	time.Sleep(t.warmup)
	if w.before, err = e.EngineStats(ctx); err != nil {
		return w, err
	}
	w.from = time.Since(start)
	for err == nil && time.Since(start) < t.duration {
		time.Sleep(min(usagePollInterval, t.duration-time.Since(start)))
		w.after, err = e.EngineStats(ctx)
		w.to = time.Since(start)
		w.slotUse = append(w.slotUse, float64(w.after.Running)/float64(e.Shape.Slots()))
	}
	return w, err
}

// add adds a round: the engines' counts and all samples of online calls.
func (m *mixedThroughput) add(w engineWindow, all []load.Sample) {
	online := 0.0
	for i := range all {
		s := &all[i]
		if !s.Result.OK() {
			continue
		}
		if end := s.At + s.SendDelay + s.Result.Total; end >= w.from && end < w.to {
			online += float64(s.Result.Tokens)
		}
	}
	m.batchTokens += float64(w.after.Tokens-w.before.Tokens) - online
	m.onlineTokens += online
	m.slotUse = append(m.slotUse, w.slotUse...)
	m.steps += float64(w.after.Steps - w.before.Steps)
	m.seconds += (w.to - w.from).Seconds()
}

// withBatch returns the condition with a batch job on the system, which has work for
// every free slot.
func withBatch(e *env.Env, c condition, system env.System) condition {
	c.setUp = func(ctx context.Context) (func() error, error) {
		j, err := e.StartJob(ctx, system, harmItems, 0)
		if err != nil {
			return nil, err
		}
		return func() error { return j.Stop(ctx) }, awaitEnginesFull(ctx, e)
	}
	return c
}

// awaitEnginesFull waits until the engines are full, for at most fillTimeout: a
// system that does not fill them is measured as it is.
func awaitEnginesFull(ctx context.Context, e *env.Env) error {
	for start := time.Now(); time.Since(start) < fillTimeout; time.Sleep(usagePollInterval / 4) {
		sum, err := e.EngineStats(ctx)
		if err != nil || float64(sum.Running) >= fullShare*float64(e.Shape.Slots()) {
			return err
		}
	}
	return nil
}

// batchCapacity measures the capacity of the engines for batch items alone.
func batchCapacity(ctx context.Context, e *env.Env) (env.Capacity, error) {
	bodies, err := workload.Bodies(e.Shape.Batch)
	if err != nil {
		return env.Capacity{}, err
	}
	spec := e.BatchSpec(0, 0)
	return e.Saturate(ctx, func(i int) client.Call {
		return client.Call{Path: workload.Path(e.Shape.Batch), Body: spec.Body(bodies[i%len(bodies)], i)}
	}, e.ScaleDuration(2*time.Second))
}

func harmLine(e *env.Env, s samples, results map[string]*mixedThroughput) report.Line {
	value := (*load.Sample).FirstToken
	ratio, n := s.ratio("B", "A", "", value)
	naive, _ := s.ratio("naive B", "naive A", "", value)
	steps := results["A"].stepsPerSecond() / results["B"].stepsPerSecond()
	extra := append(s.explain("B", "A", "", value), report.KeyValue("step_ratio", steps), report.KeyValue("ratio_per_step", ratio/steps),
		report.KeyValue("naive_n", float64(len(s["naive B"]))))
	return report.Line{Measure: "online_p99_harm_ratio", Shape: e.Shape.Name, Value: ratio,
		Naive: &naive, Target: report.FloatPtr(harmTarget), N: n, Extra: extra}
}

func (m *mixedThroughput) stepsPerSecond() float64 { return m.steps / m.seconds }

// batchShare returns batch_throughput_share, given the capacity of the engines for
// batch alone.
func (m *mixedThroughput) batchShare(capacity env.Capacity) float64 {
	idle := 1 - m.onlineTokens/m.seconds/capacity.TokensPerSecond
	return m.batchTokens / m.seconds / (capacity.TokensPerSecond * idle)
}

func throughputLine(e *env.Env, results map[string]*mixedThroughput, capacity env.Capacity, item float64) report.Line {
	ours, naive := results["B"], results["naive B"]
	return report.Line{Measure: "batch_throughput_share", Shape: e.Shape.Name, Value: ours.batchShare(capacity),
		Naive: report.FloatPtr(naive.batchShare(capacity)), Target: report.FloatPtr(throughputTarget), N: int(ours.batchTokens / item),
		Extra: []string{
			report.KeyValue("items_per_s", ours.batchTokens/item/ours.seconds), report.KeyValue("naive_items_per_s", naive.batchTokens/item/naive.seconds),
			report.KeyValue("alone_items_per_s", capacity.TokensPerSecond/item),
			report.KeyValue("online_token_share", ours.onlineTokens/ours.seconds/capacity.TokensPerSecond),
			report.KeyValue("slot_use", stats.Mean(ours.slotUse)), report.KeyValue("naive_slot_use", stats.Mean(naive.slotUse)),
			report.KeyValue("slot_use_online_only", stats.Mean(results["A"].slotUse)),
		}}
}
