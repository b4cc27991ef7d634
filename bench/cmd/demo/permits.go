package main

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"gentiantide.example/gentiantide/bench/client"
	"gentiantide.example/gentiantide/bench/standin/plain"
	"gentiantide.example/gentiantide/bench/workload"
)

const (
	permitInterval = 80 * time.Millisecond
	// sendsPerPermit is how often each permit is sent with the same key, to
	// different nodes and partly at the same time.
	sendsPerPermit = 3
)

// permitLoad sends non-idempotent calls that issue permits, each several times with
// the same key, while connections to the permit desk break before and after it has
// run a call.
type permitLoad struct {
	demo *demo
	wait sync.WaitGroup

	mu              sync.Mutex
	sent            int
	issued          map[string]bool // a response reported it as issued
	notRun          map[string]bool // every response said "not run"
	unknownOutcomes int
	notRunResponses int
}

func (l *permitLoad) run(ctx context.Context) {
	l.issued, l.notRun = make(map[string]bool), make(map[string]bool)
	bodies, err := workload.Bodies(workload.Permits)
	if err != nil {
		panic(err) // the data is embedded in the program
	}
	ticker := time.NewTicker(permitInterval)
	defer ticker.Stop()
	for i := 0; ctx.Err() == nil; i++ {
		body := maps.Clone(bodies[i%len(bodies)])
		permit := fmt.Sprintf("%s-%04d", body["permit"], i)
		body["permit"] = permit
		l.wait.Go(func() { l.issue(permit, body) })
		<-ticker.C
	}
	l.wait.Wait()
}

// issue sends one permit sendsPerPermit times, the first two at once, and records
// the responses.
func (l *permitLoad) issue(permit string, body map[string]any) {
	var wait sync.WaitGroup
	results := make([]client.Result, sendsPerPermit)
	for i := range sendsPerPermit {
		wait.Go(func() { results[i] = l.send(permit, body, i) })
		if i > 0 {
			time.Sleep(retryDelay)
		}
	}
	wait.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	allNotRun := true
	for i := range results {
		r := &results[i]
		allNotRun = allNotRun && r.NotRun == "true"
		switch {
		case r.Status == 200:
			l.issued[permit] = true
		case r.NotRun == "unknown" || r.Status == 0:
			l.unknownOutcomes++
		case r.NotRun == "true":
			l.notRunResponses++
		}
	}
	if allNotRun {
		l.notRun[permit] = true
	}
}

func (l *permitLoad) send(permit string, body map[string]any, i int) client.Result {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	nodes := l.demo.fleet.Nodes
	base := nodes[i%len(nodes)].URL()
	return l.demo.client.Do(ctx, client.Call{
		Base: base, Path: workload.Path(workload.Permits), Org: "board", Body: body,
		Header: map[string]string{"Idempotency-Key": permit, "X-Gentiantide-Non-Idempotent": "true"},
	})
}

// executions returns how often all permit desks together issued each permit.
func (l *permitLoad) executions() (map[string]int, error) {
	total := make(map[string]int)
	for _, b := range l.demo.fleet.PlainServers {
		var stats plain.Stats
		if err := l.demo.fleet.GetJSON(context.Background(), b.URL()+"/stats", &stats); err != nil {
			return nil, err
		}
		for permit, n := range stats.Permits {
			total[permit] += n
		}
	}
	return total, nil
}
