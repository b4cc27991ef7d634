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
	// resends is how often each permit is sent, to different nodes, with the
	// same key and some at the same time.
	resends = 3
)

// permitLoad issues permits, each several times with the same key, while
// connections to the permit desk break before and after it has run the call.
type permitLoad struct {
	demo *demo
	wait sync.WaitGroup

	mu       sync.Mutex
	sent     int
	issued   map[string]bool // answered as issued
	notRun   map[string]bool // every answer said "not run"
	unknown  int
	refusals int
}

func (l *permitLoad) run(ctx context.Context) {
	l.issued, l.notRun = make(map[string]bool), make(map[string]bool)
	bodies, err := workload.Bodies(workload.Permits)
	if err != nil {
		panic(err) // the data is embedded and checked by a test
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

// issue sends one permit several times, two of them at once.
func (l *permitLoad) issue(permit string, body map[string]any) {
	var wait sync.WaitGroup
	results := make([]client.Result, resends)
	for i := range resends {
		wait.Go(func() { results[i] = l.send(permit, body, i) })
		if i > 0 {
			time.Sleep(callerPause)
		}
	}
	wait.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	certain := true
	for i := range results {
		r := &results[i]
		certain = certain && r.NotRun == "true"
		switch {
		case r.Status == 200:
			l.issued[permit] = true
		case r.NotRun == "unknown" || r.Status == 0:
			l.unknown++
		case r.NotRun == "true":
			l.refusals++
		}
	}
	if certain {
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

// executions sums how often the permit desks issued each permit.
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
