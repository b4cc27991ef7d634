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
	// callTimeout is how long a caller waits for a response.
	callTimeout = 6 * time.Second
	// onlineCallers is the number of concurrent callers of online requests.
	onlineCallers = 8
	// jobItems is the number of items of a job, jobTokens the number of tokens per
	// item.
	jobItems  = 6
	jobTokens = 10
	// sharedPart is a part of the prompt of all requests and items.
	sharedPart = "shared"
)

// clients sends online requests and batch jobs to the nodes.
type clients struct {
	testbed *testbed
	oracle  *oracle
	// contacts and checks are nil if the configuration names no organisations.
	contacts *contactWatch
	checks   *keyChecks
	client   *http.Client
	wg       sync.WaitGroup
}

func newClients(tb *testbed, o *oracle) *clients {
	c := &clients{testbed: tb, oracle: o, client: &http.Client{
		// Callers keep idle connections to a node open until its process ends.
		Transport: &http.Transport{MaxIdleConnsPerHost: onlineCallers, IdleConnTimeout: 12 * time.Second, DisableCompression: true},
	}}
	if tb.keys != nil {
		c.contacts, c.checks = newContactWatch(tb), newKeyChecks(o)
	}
	return c
}

// caller returns a caller with a key of an organisation, if the configuration names some.
// It and its items then claim to be of another organisation.
func (c *clients) caller(node int, org string) *platformtest.Caller {
	out := &platformtest.Caller{Client: c.client, Address: c.testbed.nodes[node%len(c.testbed.nodes)].frontAddress, Prompt: sharedPart + ":100,own:50"}
	if c.testbed.keys != nil {
		out.Key = c.testbed.keys.key(org)
		out.Claim("org-claimed")
	}
	return out
}

// start runs all callers until ctx ends; wg.Wait returns when they have stopped.
func (c *clients) start(ctx context.Context) {
	for i := range onlineCallers {
		c.wg.Add(1)
		go func() { defer c.wg.Done(); c.sendOnline(ctx, i) }()
	}
	c.wg.Add(1)
	go func() { defer c.wg.Done(); c.runJobs(ctx) }()
}

// inContact reports whether a node has been in contact with the store for so long that it
// has the configuration.
func (c *clients) inContact(node int) bool {
	return c.contacts != nil && c.contacts.inContact(c.testbed.nodes[node], time.Now(), revokeTime)
}

func (c *clients) rng(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(c.testbed.options.Seed, stream))
}

// sendOnline sends online requests of random kinds, one after the other.
func (c *clients) sendOnline(ctx context.Context, number int) {
	rng := c.rng(uint64(number) + 1)
	kinds := []string{"once", "resume", "safe", "unsafe"}
	org := onlineOrgs[number%len(onlineOrgs)]
	for n := 0; ctx.Err() == nil; n++ {
		kind := kinds[rng.IntN(len(kinds))]
		id := fmt.Sprintf("%s-%d-%d", kind, number, n)
		want := platformtest.PlainBody(id)
		if kind == "once" || kind == "resume" {
			want = platformtest.StreamBody(id, eventsPerStream)
		}
		callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
		node := rng.IntN(len(c.testbed.nodes))
		contact := c.inContact(node)
		c.checks.ask(id, askedRequest{org: org})
		response := c.caller(node, org).Post(callCtx, "/"+kind+"/x", id)
		cancel()
		c.checks.checkResponse(id, &response, contact && c.inContact(node))
		c.oracle.checkResponse(kind, id, &response, want)
		sleep(ctx, time.Duration(rng.IntN(60))*time.Millisecond)
	}
}

// runJobs submits jobs, repeats submissions at other nodes, reads the results and
// cancels some of the jobs.
func (c *clients) runJobs(ctx context.Context) {
	rng := c.rng(1000)
	for n := 0; ctx.Err() == nil; n++ {
		job := fmt.Sprintf("job%d", n)
		c.submitJob(ctx, rng, job)
		if rng.IntN(6) == 0 {
			c.cancelJob(ctx, rng, job)
		}
		c.readAllJobs(ctx, rng.IntN(len(c.testbed.nodes)))
		sleep(ctx, time.Duration(100+rng.IntN(300))*time.Millisecond)
	}
}

func (c *clients) submitJob(ctx context.Context, rng *rand.Rand, job string) {
	for i := range jobItems {
		c.checks.ask(platformtest.ItemID(job, i), askedRequest{org: jobsOrg})
	}
	for try := range 1 + rng.IntN(3) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		response := c.caller(rng.IntN(len(c.testbed.nodes)), jobsOrg).Submit(callCtx, job, jobItems, jobTokens)
		cancel()
		if response.Err == nil && response.Status == http.StatusAccepted {
			c.oracle.recordAccepted(job, jobItems)
			if try > 0 {
				return // a repeated submission was accepted
			}
		}
	}
}

func (c *clients) cancelJob(ctx context.Context, rng *rand.Rand, job string) {
	// A cancellation without a response may have taken effect.
	c.oracle.recordCancelled(job)
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.caller(rng.IntN(len(c.testbed.nodes)), jobsOrg).Cancel(callCtx, job)
}

// readAllJobs reads the results of every job from position 0 at one node.
func (c *clients) readAllJobs(ctx context.Context, node int) {
	c.oracle.mu.Lock()
	var jobs []string
	for id := range c.oracle.jobs {
		jobs = append(jobs, id)
	}
	c.oracle.mu.Unlock()
	for _, job := range jobs {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		page, response := c.caller(node, jobsOrg).Page(callCtx, job, 0)
		cancel()
		if response.Err == nil {
			c.oracle.checkPage(job, 0, &page, response.Status)
		}
		if ctx.Err() != nil {
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
