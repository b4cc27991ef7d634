package main

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/bench/harness"
)

// healthCheckInterval is the interval between two readiness checks of the nodes.
const healthCheckInterval = 250 * time.Millisecond

// balancer simulates the platform's load balancer: round robin over the nodes whose
// readiness check passes.
type balancer struct {
	mu    sync.RWMutex
	ready []string
	next  atomic.Uint64
}

// run checks the readiness of the nodes until ctx ends.
func (b *balancer) run(ctx context.Context, nodes []*harness.Node) {
	client := &http.Client{Timeout: healthCheckInterval}
	for ctx.Err() == nil {
		var ready []string
		for _, n := range nodes {
			response, err := client.Get(n.URL() + "/readyz")
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready = append(ready, n.URL())
			}
		}
		b.mu.Lock()
		b.ready = ready
		b.mu.Unlock()
		time.Sleep(healthCheckInterval)
	}
}

// pick returns the base URL of the next ready node, or "" if none is ready.
func (b *balancer) pick() string {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if len(b.ready) == 0 {
		return ""
	}
	return b.ready[b.next.Add(1)%uint64(len(b.ready))]
}
