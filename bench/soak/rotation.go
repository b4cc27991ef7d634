package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"gentiantide.example/gentiantide/platform"
)

const (
	// checkInterval is the time between the readiness checks of a node, and maxMisses
	// the number of failed ones after which it gets no new connections.
	checkInterval = time.Second
	maxMisses     = 2
)

// rotation chooses the nodes that get new connections, as the platform does. It is safe
// for concurrent use.
type rotation struct {
	nodes []*nodeProcess

	mu     sync.Mutex
	misses []int
}

func newRotation(nodes []*nodeProcess) *rotation {
	return &rotation{nodes: nodes, misses: make([]int, len(nodes))}
}

// run checks the nodes until ctx ends.
func (r *rotation) run(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range r.nodes {
		wg.Go(func() {
			for ctx.Err() == nil {
				r.check(ctx, i)
				sleep(ctx, checkInterval)
			}
		})
	}
	wg.Wait()
}

func (r *rotation) check(ctx context.Context, i int) {
	ctx, cancel := context.WithTimeout(ctx, checkInterval)
	defer cancel()
	ready := false
	if in, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.nodes[i].readyAddress+platform.ReadinessPath, nil); err == nil {
		if response, err := http.DefaultClient.Do(in); err == nil {
			ready = response.StatusCode == http.StatusOK
			_ = response.Body.Close()
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if ready {
		r.misses[i] = 0
	} else {
		r.misses[i]++
	}
}

// pick returns a random node in rotation, or any if fewer than half are.
func (r *rotation) pick(rng *rand.Rand) *nodeProcess {
	r.mu.Lock()
	defer r.mu.Unlock()
	var in []*nodeProcess
	for i, n := range r.nodes {
		if r.misses[i] < maxMisses {
			in = append(in, n)
		}
	}
	if 2*len(in) < len(r.nodes) {
		in = r.nodes
	}
	return in[rng.IntN(len(in))]
}
