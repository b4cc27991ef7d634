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
	// onlineTokens is the length of short calls. It is a third of that of the
	// set, so that conditions of a few seconds have more than 1,000 calls.
	onlineTokens = 8
	// onlineShare is the share of the slots that online calls use.
	onlineShare = 0.5
	// harmItems make more ranges than all nodes may hold at once, so that
	// every node has work for the engines of its data centre.
	harmItems = 20_000

	// usePoll is the time between two looks at the slots in use.
	usePoll = 200 * time.Millisecond
	// fillShare is the share of slots in use from which a job counts as
	// having filled the engines, and fillBound how long that may take.
	fillShare = 0.9
	fillBound = 2 * time.Second

	// naiveCounted is the counted part of the naive proxy's rounds.
	naiveCounted = 1800 * time.Millisecond

	harmTarget       = 1.05
	throughputTarget = 0.90
)

// mixed is the throughput of one system while it serves both classes.
type mixed struct {
	seconds      float64
	batchTokens  float64
	onlineTokens float64
	steps        float64
	use          []float64 // shares of slots in use
}

// lengths are the mean lengths of the set's work in tokens. This figure keeps
// them: the shorter the work, the more of the slots' time goes into waiting
// for the next step of an engine, which no scheduling can use.
type lengths struct{ call, item float64 }

func lengthsOf(s env.Shape) (lengths, error) {
	calls, err := workload.Bodies(s.Online)
	if err != nil {
		return lengths{}, err
	}
	items, err := workload.Bodies(s.Batch)
	if err != nil {
		return lengths{}, err
	}
	return lengths{call: workload.MeanTokens(calls), item: workload.MeanTokens(items)}, nil
}

// harm measures two figures in the same rounds.
//
// online_p99_harm_ratio is the 99th percentile of the time to first token of
// online calls while a batch job has work for every free slot, divided by that
// without batch. step_ratio is the mean step time of the engines with batch,
// divided by that without: the part of the ratio that no scheduling of batch
// onto free slots can avoid, since a step of a fuller engine takes longer.
//
// batch_throughput_share is items/s of batch while online calls take their
// part, divided by (items/s of the same engines with nothing else to serve ×
// idle share). The items/s with nothing else to serve are measured by calling
// the engines directly with every slot always busy. The idle share is
// 1 − (tokens/s of the online calls) / (tokens/s of the engines in that direct
// run). Items are counted by their tokens, so that items that begin or end
// outside the counted time count in part: tokens of the engines less those of
// the online calls answered in the same time. slot_use is the mean share of
// the engines' slots that were in use.
func harm(ctx context.Context, e *env.Env) ([]report.Line, error) {
	l, err := lengthsOf(e.Shape)
	if err != nil {
		return nil, err
	}
	rate := e.Shape.Rate(onlineShare, l.call)
	t := timingFor(e, 600*time.Millisecond, rate, 2)
	found := make(map[string]*mixed)
	s, err := run(ctx, e, t, []condition{
		online(e, t, rate, "A", env.Gentiantide, 2, found),
		withBatch(e, online(e, t, rate, "B", env.Gentiantide, 2, found), env.Gentiantide),
	})
	if err != nil {
		return nil, err
	}
	t.length = t.warm + e.Span(naiveCounted)
	naive, err := run(ctx, e, t, []condition{
		online(e, t, rate, "naive A", env.Naive, 1, found),
		withBatch(e, online(e, t, rate, "naive B", env.Naive, 1, found), env.Naive),
	})
	if err != nil {
		return nil, err
	}
	maps.Copy(s, naive)
	alone, err := itemsAlone(ctx, e)
	if err != nil {
		return nil, err
	}
	return []report.Line{harmLine(e, s, found), throughputLine(e, found, alone, l.item)}, nil
}

// online is steady online load, whose completions and steps are counted.
func online(e *env.Env, t timing, rate float64, name string, system env.System, rounds int, found map[string]*mixed) condition {
	m := &mixed{}
	found[name] = m
	var count window
	return condition{
		name: name, rounds: rounds,
		calls: func(round int) ([]load.Call, error) {
			return e.Calls(env.CallSpec{System: system, Kind: "online",
				Arrivals: load.Poisson(seed(e.Shape.Seed, 1, round), rate, t.length)})
		},
		during: func(ctx context.Context, _ int) (err error) {
			count, err = watchEngines(ctx, e, t)
			return err
		},
		after: func(all []load.Sample) { m.add(count, all) },
	}
}

// window is what the engines did during the counted part of a round.
type window struct {
	from, to      time.Duration // from the start of the round
	before, after engine.Stats
	use           []float64
}

func watchEngines(ctx context.Context, e *env.Env, t timing) (w window, err error) {
	start := time.Now()
	time.Sleep(t.warm)
	if w.before, err = e.Totals(ctx); err != nil {
		return w, err
	}
	w.from = time.Since(start)
	for err == nil && time.Since(start) < t.length {
		time.Sleep(min(usePoll, t.length-time.Since(start)))
		w.after, err = e.Totals(ctx)
		w.to = time.Since(start)
		w.use = append(w.use, float64(w.after.Running)/float64(e.Shape.Slots()))
	}
	return w, err
}

func (m *mixed) add(w window, all []load.Sample) {
	online := 0.0
	for i := range all {
		s := &all[i]
		if !s.Result.OK() {
			continue
		}
		if end := s.At + s.Late + s.Result.Total; end >= w.from && end < w.to {
			online += float64(s.Result.Tokens)
		}
	}
	m.batchTokens += float64(w.after.Tokens-w.before.Tokens) - online
	m.onlineTokens += online
	m.use = append(m.use, w.use...)
	m.steps += float64(w.after.Steps - w.before.Steps)
	m.seconds += (w.to - w.from).Seconds()
}

// withBatch runs a condition beside a job that the system has work of for
// every free slot.
func withBatch(e *env.Env, c condition, system env.System) condition {
	c.begin = func(ctx context.Context) (func() error, error) {
		j, err := e.StartJob(ctx, system, harmItems, 0)
		if err != nil {
			return nil, err
		}
		return func() error { return j.Stop(ctx) }, awaitFull(ctx, e)
	}
	return c
}

// awaitFull waits until the engines are full, but not for ever: a system that
// does not fill them is measured as it is.
func awaitFull(ctx context.Context, e *env.Env) error {
	for start := time.Now(); time.Since(start) < fillBound; time.Sleep(usePoll / 4) {
		sum, err := e.Totals(ctx)
		if err != nil || float64(sum.Running) >= fillShare*float64(e.Shape.Slots()) {
			return err
		}
	}
	return nil
}

// itemsAlone measures the engines with nothing but items to serve.
func itemsAlone(ctx context.Context, e *env.Env) (env.Capacity, error) {
	bodies, err := workload.Bodies(e.Shape.Batch)
	if err != nil {
		return env.Capacity{}, err
	}
	spec := e.Spec(0, 0)
	return e.Saturate(ctx, func(i int) client.Call {
		return client.Call{Path: workload.Path(e.Shape.Batch), Body: spec.Body(bodies[i%len(bodies)], i)}
	}, e.Span(2*time.Second))
}

func harmLine(e *env.Env, s samples, found map[string]*mixed) report.Line {
	value := (*load.Sample).FirstToken
	ratio, n := s.ratio("B", "A", "", value)
	naive, _ := s.ratio("naive B", "naive A", "", value)
	steps := found["A"].stepsPerSecond() / found["B"].stepsPerSecond()
	extra := append(s.explain("B", "A", "", value), report.Pair("step_ratio", steps), report.Pair("ratio_per_step", ratio/steps),
		report.Pair("naive_n", float64(len(s["naive B"]))))
	return report.Line{Measure: "online_p99_harm_ratio", Shape: e.Shape.Name, Value: ratio,
		Naive: &naive, Target: report.Number(harmTarget), N: n, Extra: extra}
}

func (m *mixed) stepsPerSecond() float64 { return m.steps / m.seconds }

// share returns batch_throughput_share.
func (m *mixed) share(alone env.Capacity) float64 {
	idle := 1 - m.onlineTokens/m.seconds/alone.TokensPerSecond
	return m.batchTokens / m.seconds / (alone.TokensPerSecond * idle)
}

func throughputLine(e *env.Env, found map[string]*mixed, alone env.Capacity, item float64) report.Line {
	ours, naive := found["B"], found["naive B"]
	return report.Line{Measure: "batch_throughput_share", Shape: e.Shape.Name, Value: ours.share(alone),
		Naive: report.Number(naive.share(alone)), Target: report.Number(throughputTarget), N: int(ours.batchTokens / item),
		Extra: []string{
			report.Pair("items_per_s", ours.batchTokens/item/ours.seconds), report.Pair("naive_items_per_s", naive.batchTokens/item/naive.seconds),
			report.Pair("alone_items_per_s", alone.TokensPerSecond/item),
			report.Pair("online_token_share", ours.onlineTokens/ours.seconds/alone.TokensPerSecond),
			report.Pair("slot_use", stats.Mean(ours.use)), report.Pair("naive_slot_use", stats.Mean(naive.use)),
			report.Pair("slot_use_online_only", stats.Mean(found["A"].use)),
		}}
}
