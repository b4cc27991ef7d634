package env

import (
	"context"
	"sync"
	"time"

	"gentiantide.example/gentiantide/bench/client"
	"gentiantide.example/gentiantide/bench/standin/engine"
)

// extraCalls is the number of calls that wait at each engine during Saturate,
// so that no slot is ever free.
const extraCalls = 3

// Capacity is what the engines do with nothing else to serve.
type Capacity struct{ CallsPerSecond, TokensPerSecond float64 }

// Saturate measures the capacity of the engines for calls that next makes:
// callers keep every slot of every engine busy directly.
func (e *Env) Saturate(ctx context.Context, next func(i int) client.Call, length time.Duration) (Capacity, error) {
	const warm = 600 * time.Millisecond
	run, cancel := context.WithCancel(ctx)
	defer cancel()
	var wait sync.WaitGroup
	for n, b := range e.Fleet.Engines {
		for c := range slots + extraCalls {
			wait.Go(func() {
				for i := 0; run.Err() == nil; i++ {
					call := next((i*len(e.Fleet.Engines)+n)*(slots+extraCalls) + c)
					call.Base = b.URL()
					e.Client.Do(run, call)
				}
			})
		}
	}
	time.Sleep(warm)
	before, err := e.Totals(ctx)
	start := time.Now()
	time.Sleep(length)
	took := time.Since(start).Seconds()
	var after engine.Stats
	if err == nil {
		after, err = e.Totals(ctx)
	}
	cancel()
	wait.Wait()
	return Capacity{
		CallsPerSecond:  float64(after.Completed-before.Completed) / took,
		TokensPerSecond: float64(after.Tokens-before.Tokens) / took,
	}, err
}
