package figures

import (
	"context"
	"time"

	"gentiantide.example/gentiantide/bench/measure/env"
	"gentiantide.example/gentiantide/bench/measure/report"
	"gentiantide.example/gentiantide/bench/standin/table"
)

const (
	writesTarget = 5.0
	writesItems  = 10_000
	// writesTokens makes items short.
	writesTokens = 2
	// writesSpeed makes the engines fast, so that the job takes seconds.
	writesSpeed = 0.25
	idleWatch   = 2 * time.Second
	writesBound = 60 * time.Second
)

// batchWrites measures batch_writes_per_1000_items: rows written in the table
// service from before the upload of a job of 10,000 short items to its
// completion, less the writes of the idle system in the same time, per 1,000
// items.
func batchWrites(ctx context.Context, e *env.Env) ([]report.Line, error) {
	idle, err := idleWrites(ctx, e)
	if err != nil {
		return nil, err
	}
	if err := e.SlowAll(writesSpeed); err != nil {
		return nil, err
	}
	before, err := rows(ctx, e)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	j, err := e.StartJob(ctx, env.Gentiantide, writesItems, writesTokens)
	if err != nil {
		return nil, err
	}
	bounded, cancel := context.WithTimeout(ctx, writesBound)
	defer cancel()
	b, err := j.Await(bounded, "completed")
	if err != nil {
		return nil, err
	}
	took := time.Since(start).Seconds()
	after, err := rows(ctx, e)
	if err != nil {
		return nil, err
	}
	value := (after - before - idle*took) / writesItems * 1000
	return []report.Line{{Measure: "batch_writes_per_1000_items", Shape: e.Shape.Name, Value: value,
		Target: report.Number(writesTarget), N: b.RequestCounts.Completed, Extra: []string{
			report.Pair("rows", after-before), report.Pair("idle_rows_per_s", idle), report.Pair("seconds", took),
			report.Pair("failed_items", float64(b.RequestCounts.Failed)),
		}}}, e.Slow(0)
}

func rows(ctx context.Context, e *env.Env) (float64, error) {
	var s table.Stats
	err := e.Table(ctx, "/stats", &s)
	return float64(s.RowsWritten), err
}

// idleWrites returns the rows written per second without work.
func idleWrites(ctx context.Context, e *env.Env) (float64, error) {
	before, err := rows(ctx, e)
	if err != nil {
		return 0, err
	}
	time.Sleep(idleWatch)
	after, err := rows(ctx, e)
	return (after - before) / idleWatch.Seconds(), err
}
