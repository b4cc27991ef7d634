package main

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/bench/harness"
)

// checkInterval is how often the balancer checks the health of the nodes.
const checkInterval = 250 * time.Millisecond

// balancer stands for the platform's balancer: it gives calls to the nodes
// whose readiness check passes, in turn.
type balancer struct {
	mu    sync.RWMutex
	ready []string
	next  atomic.Uint64
}

func (b *balancer) run(ctx context.Context, nodes []*harness.Node) {
	client := &http.Client{Timeout: checkInterval}
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
		time.Sleep(checkInterval)
	}
}

// pick returns the base URL of a ready node, or "".
func (b *balancer) pick() string {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if len(b.ready) == 0 {
		return ""
	}
	return b.ready[b.next.Add(1)%uint64(len(b.ready))]
}
