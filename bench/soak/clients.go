package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"gentiantide.example/gentiantide/platform/platformtest"
)

const (
	// callTimeout is how long a caller waits for an answer.
	callTimeout = 6 * time.Second
	// callers is the number of callers of online requests.
	callers = 8
	// jobItems and jobTokens are the size of each job.
	jobItems  = 6
	jobTokens = 10
)

// clients drive the nodes with requests until they are stopped.
type clients struct {
	world  *world
	oracle *oracle
	client *http.Client
	wait   sync.WaitGroup
}

func newClients(w *world, o *oracle) *clients {
	return &clients{world: w, oracle: o, client: &http.Client{
		// Callers keep connections open until the process is gone.
		Transport: &http.Transport{MaxIdleConnsPerHost: callers, IdleConnTimeout: 12 * time.Second, DisableCompression: true},
	}}
}

func (c *clients) at(node int) *platformtest.Caller {
	return &platformtest.Caller{Client: c.client, Address: c.world.vms[node%len(c.world.vms)].front}
}

// start runs all callers until ctx ends; wait returns when they have.
func (c *clients) start(ctx context.Context) {
	for i := range callers {
		c.wait.Add(1)
		go func() { defer c.wait.Done(); c.online(ctx, i) }()
	}
	c.wait.Add(1)
	go func() { defer c.wait.Done(); c.batch(ctx) }()
}

func (c *clients) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(c.world.options.Seed, stream))
}

// online sends requests of all kinds, one after the other.
func (c *clients) online(ctx context.Context, number int) {
	random := c.random(uint64(number) + 1)
	kinds := []string{"once", "resume", "safe", "unsafe"}
	for n := 0; ctx.Err() == nil; n++ {
		kind := kinds[random.IntN(len(kinds))]
		id := fmt.Sprintf("%s-%d-%d", kind, number, n)
		want := platformtest.PlainBody(id)
		if kind == "once" || kind == "resume" {
			want = platformtest.StreamBody(id, streamEvents)
		}
		callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
		answer := c.at(random.IntN(len(c.world.vms))).Post(callCtx, "/"+kind+"/x", id)
		cancel()
		c.oracle.answered(kind, id, &answer, want)
		pause(ctx, time.Duration(random.IntN(60))*time.Millisecond)
	}
}

// batch hands in jobs, again at other nodes, reads them and ends some.
func (c *clients) batch(ctx context.Context) {
	random := c.random(1000)
	for n := 0; ctx.Err() == nil; n++ {
		job := fmt.Sprintf("job%d", n)
		c.submit(ctx, random, job)
		if random.IntN(6) == 0 {
			c.end(ctx, random, job)
		}
		c.readAll(ctx, random.IntN(len(c.world.vms)))
		pause(ctx, time.Duration(100+random.IntN(300))*time.Millisecond)
	}
}

func (c *clients) submit(ctx context.Context, random *rand.Rand, job string) {
	for try := range 1 + random.IntN(3) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		answer := c.at(random.IntN(len(c.world.vms))).Submit(callCtx, job, jobItems, jobTokens)
		cancel()
		if answer.Err == nil && answer.Status == http.StatusAccepted {
			c.oracle.accepted(job, jobItems)
			if try > 0 {
				return // accepted again at another node
			}
		}
	}
}

func (c *clients) end(ctx context.Context, random *rand.Rand, job string) {
	// An end without an answer may have taken effect.
	c.oracle.endedJob(job)
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.at(random.IntN(len(c.world.vms))).Cancel(callCtx, job)
}

// readAll reads all jobs from their beginning at one node.
func (c *clients) readAll(ctx context.Context, node int) {
	c.oracle.mu.Lock()
	var jobs []string
	for id := range c.oracle.jobs {
		jobs = append(jobs, id)
	}
	c.oracle.mu.Unlock()
	for _, job := range jobs {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		page, answer := c.at(node).Page(callCtx, job, 0)
		cancel()
		if answer.Err == nil {
			c.oracle.read(job, 0, &page, answer.Status)
		}
		if ctx.Err() != nil {
			return
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
