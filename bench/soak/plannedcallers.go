package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"gentiantide.example/gentiantide/platform/platformtest"
)

const (
	// plannedCallers is the number of concurrent callers, and plannedJobCallers those of
	// jobs.
	plannedCallers, plannedJobCallers = 32, 3
	// maxCallerIdle is the longest time that a caller keeps a connection idle.
	maxCallerIdle = minIdleTimeout * 4 / 5
	// maxSendPause is the longest pause of a caller within a request. It is below the
	// least time for a head.
	maxSendPause = time.Second
	// longBodyCopies makes the body of a request larger than what is written to a
	// replica in one go.
	longBodyCopies = 2000
	// largeCopies makes the body of a plain service larger than what a node buffers.
	largeCopies = 1000
)

// plannedClients send load in the phase of planned work.
type plannedClients struct {
	phase  *plannedPhase
	oracle *plannedOracle
	wg     sync.WaitGroup
}

func (c *plannedClients) start(ctx context.Context) {
	for i := range plannedCallers {
		c.wg.Go(func() { c.sendOnline(ctx, i) })
	}
	for i := range plannedJobCallers {
		c.wg.Go(func() { c.runJobs(ctx, i) })
	}
}

// sendOnline sends requests of random kinds, one after the other, on connections that it
// keeps for as long as the node does.
func (c *plannedClients) sendOnline(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(c.phase.testbed.options.Seed, 100+uint64(number)))
	var conn *keptConn
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for n := 0; ctx.Err() == nil; n++ {
		if conn != nil && conn.closed() {
			c.oracle.count("kept connection was closed while idle")
			_ = conn.Close()
			conn = nil
		}
		if conn == nil {
			var err error
			if conn, err = openConn(c.phase.rotation.pick(rng)); err != nil {
				c.oracle.count("no connection")
				sleep(ctx, 50*time.Millisecond)
				continue
			}
		}
		in := c.randomCall(rng, fmt.Sprintf("%d-%d", number, n))
		if !conn.do(in) {
			_ = conn.Close()
			conn = nil
		}
		if in.kind == "extra" && in.response.Status == http.StatusNotFound && !c.phase.hasExtraRoute(in.path) {
			in.kind = "removed"
		}
		c.oracle.checkCall(in)
		pause := time.Duration(rng.IntN(100)) * time.Millisecond
		if rng.IntN(10) == 0 {
			pause = time.Duration(rng.Int64N(int64(maxCallerIdle)))
		}
		sleep(ctx, pause)
		if conn != nil && rng.IntN(20) == 0 {
			_ = conn.Close()
			conn = nil
		}
	}
}

// randomCall returns a request of a random kind. The paths of long streams end with long,
// those of large bodies with large.
func (c *plannedClients) randomCall(rng *rand.Rand, number string) *call {
	kind := []string{"once", "resume", "safe", "unsafe"}[rng.IntN(4)]
	path := "/" + kind + "/"
	if name := c.phase.extraRoute(); name != "" && rng.IntN(8) == 0 {
		kind, path = "extra", "/"+name+"/"
	}
	if kind == "once" || kind == "resume" {
		path += []string{"long", "short", "short"}[rng.IntN(3)]
	} else {
		path += []string{"x", "x", "x", "large"}[rng.IntN(4)]
	}
	id := kind + "-" + number
	in := &call{kind: kind, method: http.MethodPost, path: path, id: id, body: "body of " + id}
	switch rng.IntN(10) {
	case 0:
		in.pause = time.Duration(rng.Int64N(int64(maxSendPause)))
	case 1:
		in.body = strings.Repeat(in.body+" ", longBodyCopies)
	}
	return in
}

// runJobs submits jobs, reads their results and asks for bodies, each on a new
// connection.
func (c *plannedClients) runJobs(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(c.phase.testbed.options.Seed, 200+uint64(number)))
	for n := 0; ctx.Err() == nil; n++ {
		c.submit(ctx, rng, fmt.Sprintf("job%d-%d", number, n))
		for range 3 {
			if job := c.oracle.randomJob(rng); job != "" {
				c.readResults(c.phase.rotation.pick(rng), job)
				c.readBody(c.phase.rotation.pick(rng), job, platformtest.ItemID(job, rng.IntN(jobItems)))
			}
		}
		sleep(ctx, time.Duration(100+rng.IntN(400))*time.Millisecond)
	}
}

// submit submits a job until it is accepted, at another node each time, and sometimes
// once more.
func (c *plannedClients) submit(ctx context.Context, rng *rand.Rand, job string) {
	prefix := []string{"/batch/", "/" + secondJobs + "/"}[rng.IntN(2)]
	body, err := platformtest.Submission(prefix, job, promptOf(job), jobItems, jobTokens)
	if err != nil {
		c.oracle.jobs.addViolation("job %s: %v", job, err)
		return
	}
	first := time.Now()
	for range 4 {
		in := &call{kind: "submit", method: http.MethodPost, path: prefix + job, id: job, body: string(body)}
		n := c.phase.rotation.pick(rng)
		c.doOnce(n, in)
		if in.response.Err == nil && in.response.Status == http.StatusAccepted {
			c.phase.accepted(n, job, prefix, first)
			c.oracle.jobs.recordAccepted(job, jobItems)
			if rng.IntN(4) > 0 {
				return
			}
		}
		sleep(ctx, time.Duration(rng.IntN(300))*time.Millisecond)
	}
}

// readResults reads the results of a job from the start.
func (c *plannedClients) readResults(n *nodeProcess, job string) {
	in := &call{kind: "read", method: http.MethodGet, path: platformtest.PagePath(job, 0)}
	c.doOnce(n, in)
	if in.response.Err != nil {
		return
	}
	page := in.response.Page()
	if in.response.Err != nil {
		c.oracle.jobs.addViolation("job %s: %v", job, in.response.Err)
		return
	}
	c.oracle.jobs.checkPage(job, 0, &page, in.response.Status)
	for i := range page.Results {
		if page.Results[i].DeadLettered() && !c.phase.mayAbandon(job) {
			c.oracle.jobs.addViolation("job %s: item %s is abandoned although its route was there all the time", job, page.Results[i].ID)
		}
	}
}

// readBody reads the body of an item of an accepted job.
func (c *plannedClients) readBody(n *nodeProcess, job, item string) {
	in := &call{kind: "body", method: http.MethodGet, path: platformtest.ItemPath(job, item)}
	c.doOnce(n, in)
	switch {
	case in.response.Err != nil || in.response.Status == http.StatusServiceUnavailable:
	case in.response.Status != http.StatusOK || in.response.Body != platformtest.ItemBody(item):
		c.oracle.jobs.addViolation("job %s: body of item %s has status %d and %d bytes", job, item, in.response.Status, len(in.response.Body))
	}
}

// doOnce sends a request on a new connection.
func (c *plannedClients) doOnce(n *nodeProcess, in *call) {
	conn, err := openConn(n)
	if err != nil {
		in.response.Err = err
		c.oracle.count("no connection")
		return
	}
	defer conn.Close()
	conn.do(in)
	c.oracle.checkCall(in)
}

// awaitJobs reads the jobs until each accepted one is complete.
func (c *plannedClients) awaitJobs(bound time.Duration) {
	for end, i := time.Now().Add(bound), 0; ; i++ {
		missing := c.oracle.jobs.incompleteJobs()
		if len(missing) == 0 {
			break
		}
		if time.Now().After(end) {
			c.oracle.jobs.addViolation("jobs %v have items without a result %s after the planned work", missing, bound)
			break
		}
		for _, job := range missing {
			c.readResults(c.phase.testbed.nodes[i%len(c.phase.testbed.nodes)], job)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
