package env

import (
	"context"
	"sync"
	"time"

	"gentiantide.example/gentiantide/bench/client"
	"gentiantide.example/gentiantide/bench/standin/engine"
)

// waitingCalls is the number of calls that wait at each engine during Saturate, so
// that no slot is ever free.
const waitingCalls = 3

// Capacity is the throughput of all engines together on one kind of calls.
type Capacity struct{ CallsPerSecond, TokensPerSecond float64 }

// Saturate measures the capacity of the engines for the calls that next returns. It
// calls the engines directly and keeps every slot of every engine busy.
func (e *Env) Saturate(ctx context.Context, next func(i int) client.Call, duration time.Duration) (Capacity, error) {
	const warmup = 600 * time.Millisecond
	run, cancel := context.WithCancel(ctx)
	defer cancel()
	var wait sync.WaitGroup
	for n, b := range e.Fleet.Engines {
		for c := range slotsPerEngine + waitingCalls {
			wait.Go(func() {
				for i := 0; run.Err() == nil; i++ {
					call := next((i*len(e.Fleet.Engines)+n)*(slotsPerEngine+waitingCalls) + c)
					call.Base = b.URL()
					e.Client.Do(run, call)
				}
			})
		}
	}
	time.Sleep(warmup)
	before, err := e.EngineStats(ctx)
	start := time.Now()
	time.Sleep(duration)
	took := time.Since(start).Seconds()
	var after engine.Stats
	if err == nil {
		after, err = e.EngineStats(ctx)
	}
	cancel()
	wait.Wait()
	return Capacity{
		CallsPerSecond:  float64(after.Completed-before.Completed) / took,
		TokensPerSecond: float64(after.Tokens-before.Tokens) / took,
	}, err
}
