package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"gentiantide.example/gentiantide/platform/platformtest"
)

const (
	// lateWork is how long after SIGTERM the last sixth of the grace period begins, in
	// which the work at replicas may be broken off. It protects requests that were sent
	// no later than lateSend after SIGTERM.
	lateWork = stopGraceSeconds * time.Second * 5 / 6
	lateSend = 3 * time.Second
	// stopWindow is the time after SIGTERM in which runs of items that the stop ends
	// are seen to end at the replicas.
	stopWindow = 2 * time.Second
	// slack is the time that a call may end before its deadline and count as ended by
	// it.
	slack = 100 * time.Millisecond
)

// plannedOracle judges what callers and replicas saw in the phase of planned work. It is
// safe for concurrent use.
type plannedOracle struct {
	// jobs checks responses and jobs.
	jobs *oracle

	mu     sync.Mutex
	counts map[string]int
	// unanswered are the calls that ended without a complete response.
	unanswered []*call
	// left are the calls whose callers did not wait any longer.
	left  []*call
	stops []stopped
}

// stopped is a SIGTERM.
type stopped struct {
	node *nodeProcess
	at   time.Time
}

func newPlannedOracle() *plannedOracle {
	return &plannedOracle{jobs: newOracle(), counts: make(map[string]int)}
}

func (o *plannedOracle) count(what string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[what]++
}

func (o *plannedOracle) recordStop(n *nodeProcess) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stops = append(o.stops, stopped{n, time.Now()})
}

// randomJob returns an accepted job.
func (o *plannedOracle) randomJob(rng *rand.Rand) string {
	o.jobs.mu.Lock()
	defer o.jobs.mu.Unlock()
	var all []string
	for id, job := range o.jobs.jobs {
		if len(job.results) < job.items || rng.IntN(10) == 0 {
			all = append(all, id)
		}
	}
	if len(all) == 0 {
		return ""
	}
	slices.Sort(all)
	return all[rng.IntN(len(all))]
}

// checkCall checks a call and keeps it for judge if its response is incomplete.
func (o *plannedOracle) checkCall(c *call) {
	switch c.kind {
	case "once", "resume":
		o.jobs.checkResponse(c.kind, c.id, &c.response, platformtest.StreamBody(c.id, eventsPerStream))
	case "safe", "unsafe", "extra":
		copies := 1
		if strings.HasSuffix(c.path, "large") {
			copies = largeCopies
		}
		o.jobs.checkResponse(c.kind, c.id, &c.response, strings.Repeat(platformtest.PlainBody(c.id), copies))
	}
	if c.kind == "submit" && c.response.Status == 404 && strings.HasPrefix(c.path, "/batch/") {
		o.jobs.addViolation("submit %s: status 404 although every configuration has the route", c.id)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case c.response.Err == nil:
		o.counts[fmt.Sprintf("%s %d", c.kind, c.response.Status)]++
	case c.left:
		o.counts[c.kind+" left by the caller"]++
		o.left = append(o.left, c)
	default:
		o.unanswered = append(o.unanswered, c)
	}
}

// judge finds out at the end which of the incomplete responses are faults. A request on a
// kept connection may cross the close of it: its caller then sees the connection closed
// without a byte, and no replica has received it.
func (o *plannedOracle) judge(backends []*backend, log func(format string, args ...any)) {
	received := make(map[string][]platformtest.ReceivedRequest)
	for _, b := range backends {
		for _, r := range b.ReceivedRequests() {
			received[r.RequestID] = append(received[r.RequestID], r)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range o.unanswered {
		runs := received[c.id]
		switch {
		case c.reused && !c.headed && len(runs) == 0:
			o.counts["crossed the close of a kept connection"]++
			log("crossed: %s", describe(c, runs))
		case c.ended.Sub(c.sent) > callDeadline-slack:
			o.counts["at the deadline"]++
		case o.atGraceEnd(c, runs):
			o.counts["at work in the last sixth of the grace period"]++
		default:
			o.jobs.addViolation("%s", describe(c, runs))
		}
	}
	for _, c := range o.left {
		log("left: %s", describe(c, received[c.id]))
	}
	o.checkItemRuns(received)
}

// describe describes a call without a complete response for the log.
func describe(c *call, runs []platformtest.ReceivedRequest) string {
	var at []string
	for i := range runs {
		at = append(at, fmt.Sprintf("run from %s to %s, whole %t", clock(runs[i].At), clock(runs[i].Ended), runs[i].Whole))
	}
	return fmt.Sprintf("%s %s %s at %s: no complete response (%v); reused %t, pause %s, sent %s, ended %s, status %d, %d bytes; %d runs: %s", c.kind, c.id, c.path, c.node.name,
		c.response.Err, c.reused, c.pause, clock(c.sent), clock(c.ended), c.response.Status, len(c.response.Body), len(runs), strings.Join(at, "; "))
}

func clock(t time.Time) string { return t.UTC().Format("15:04:05.000") }

// atGraceEnd reports whether a stop may have broken the work on a call off.
func (o *plannedOracle) atGraceEnd(c *call, runs []platformtest.ReceivedRequest) bool {
	for _, s := range o.stops {
		if s.node != c.node || c.sent.After(s.at.Add(lateSend)) || c.ended.Before(s.at.Add(lateWork)) {
			continue
		}
		for i := range runs {
			if runs[i].Ended.IsZero() || runs[i].Ended.After(s.at.Add(lateWork)) {
				return true
			}
		}
	}
	return false
}

// checkItemRuns counts the runs of items that ended early, and those that a stop may have
// ended.
func (o *plannedOracle) checkItemRuns(received map[string][]platformtest.ReceivedRequest) {
	o.jobs.mu.Lock()
	defer o.jobs.mu.Unlock()
	for job, accepted := range o.jobs.jobs {
		for i := range accepted.items {
			broken, byStops := 0, 0
			for _, r := range received[platformtest.ItemID(job, i)] {
				if !r.Ran || r.Whole {
					continue
				}
				broken++
				if slices.ContainsFunc(o.stops, func(s stopped) bool { d := r.Ended.Sub(s.at); return d > 0 && d < stopWindow }) {
					byStops++
				}
			}
			o.counts["items"]++
			if broken > 0 {
				o.counts[fmt.Sprintf("items with %d runs ended early", broken)]++
			}
			if byStops > 0 {
				o.counts[fmt.Sprintf("items with %d runs ended soon after a SIGTERM", byStops)]++
			}
		}
	}
}
