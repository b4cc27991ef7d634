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
	// writesTokens makes the items short.
	writesTokens = 2
	// writesSlowdown makes the engines 4 times faster, so that the job takes only
	// seconds.
	writesSlowdown = 0.25
	idleWindow     = 2 * time.Second
	writesTimeout  = 60 * time.Second
)

// batchWrites measures batch_writes_per_1000_items: the rows written to the table
// service from before the upload of a job of 10,000 short items until its completion,
// minus the rows that the idle system writes in the same time, per 1,000 items.
func batchWrites(ctx context.Context, e *env.Env) ([]report.Line, error) {
	idle, err := idleWrites(ctx, e)
	if err != nil {
		return nil, err
	}
	if err := e.SetSlowdownAll(writesSlowdown); err != nil {
		return nil, err
	}
	before, err := rowsWritten(ctx, e)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	j, err := e.StartJob(ctx, env.Gentiantide, writesItems, writesTokens)
	if err != nil {
		return nil, err
	}
	bounded, cancel := context.WithTimeout(ctx, writesTimeout)
	defer cancel()
	b, err := j.Await(bounded, "completed")
	if err != nil {
		return nil, err
	}
	took := time.Since(start).Seconds()
	after, err := rowsWritten(ctx, e)
	if err != nil {
		return nil, err
	}
	value := (after - before - idle*took) / writesItems * 1000
	return []report.Line{{Measure: "batch_writes_per_1000_items", Shape: e.Shape.Name, Value: value,
		Target: report.FloatPtr(writesTarget), N: b.RequestCounts.Completed, Extra: []string{
			report.KeyValue("rows", after-before), report.KeyValue("idle_rows_per_s", idle), report.KeyValue("seconds", took),
			report.KeyValue("failed_items", float64(b.RequestCounts.Failed)),
		}}}, e.SetSlowdown(0)
}

// rowsWritten returns the number of rows written to the table service so far.
func rowsWritten(ctx context.Context, e *env.Env) (float64, error) {
	var s table.Stats
	err := e.GetFromTable(ctx, "/stats", &s)
	return float64(s.RowsWritten), err
}

// idleWrites returns the rows that the idle system writes per second.
func idleWrites(ctx context.Context, e *env.Env) (float64, error) {
	before, err := rowsWritten(ctx, e)
	if err != nil {
		return 0, err
	}
	time.Sleep(idleWindow)
	after, err := rowsWritten(ctx, e)
	return (after - before) / idleWindow.Seconds(), err
}
